//! Health checks of suspected targets.

use std::{
    future::{self, Future},
    net::SocketAddr,
    pin::Pin,
    task::Poll,
    time::Duration,
};

use catalog::TargetId;
use smol::Timer;
use store::StoreError;
use tagged::{CheckOutcome, DueCheck, judge_check};
use telemetry::{Event, field};

use crate::{clock, control_thread::State, shared::Command};

/// How long a target may take to accept a connection, in milliseconds: many round trips even
/// between distant failure domains, but short compared with the timeouts of callers.
const CONNECT_TIMEOUT_MS: u64 = 70;

/// How many connection attempts a check makes. On links that lose one packet in forty, two
/// successive losses occur once in a few thousand checks, so two attempts are too few.
const MAX_ATTEMPTS: usize = 3;

/// The delay before the next attempt starts while the earlier ones are unanswered, in milliseconds.
/// Several round trips, but short, since callers wait for the result.
const ATTEMPT_DELAY_MS: u64 = 30;

/// Connects to a suspected target and, at the same time, to a reference target. If neither accepts,
/// the fault may be this host's or its link's, and the verdict is unclear. If the reference accepts
/// late, the target gets more time.
pub(crate) async fn check_target(state: State, due: DueCheck) {
    let started_at_ms = clock::now_ms();
    let reference = async {
        let Some(reference) = due.reference else { return Some(0) };
        let connected = connect(&state, reference).await;
        connected.ok().map(|()| clock::now_ms() - started_at_ms)
    };
    let (mut answer, reference_took_ms) =
        smol::future::zip(connect(&state, due.target), reference).await;
    let mut waited_ms = clock::now_ms() - started_at_ms;
    let verdict = loop {
        match judge_check(answer.is_ok(), reference_took_ms, waited_ms) {
            CheckOutcome::Verdict(verdict) => break verdict,
            CheckOutcome::Extended(more_ms) => {
                answer = connect_once(&state, due.target, Duration::from_millis(more_ms)).await;
                // A refusal comes at once, and is not late.
                waited_ms += more_ms;
            }
        }
    };
    let answer_text = answer.map_or_else(cause, |()| "connected".to_owned());
    telemetry::emit(
        Event::TargetChecked,
        &[
            field("target", format_args!("{:x}", due.target.0)),
            field("reference", format_args!("{:x}", due.reference.map_or(0, |target| target.0))),
            field("reference_took_ms", reference_took_ms.map_or(-1, |took_ms| took_ms as i64)),
            field("verdict", format_args!("{verdict:?}")),
            field("answer", answer_text),
            field("took_ms", clock::now_ms() - started_at_ms),
        ],
    );
    let command = Command::Checked { target: due.target, verdict, started_at_ms };
    // If the channel is full the verdict is lost, and the data thread requests another check later.
    let _ = state.shared.commands.0.try_send(command);
}

/// Why no connection was established.
fn cause(error: StoreError) -> String {
    match error {
        StoreError::Unreachable(cause) => cause,
        other => other.to_string(),
    }
}

fn target_address(state: &State, target: TargetId) -> Result<SocketAddr, StoreError> {
    let unknown_target =
        || StoreError::Unreachable("the target is not in the directory".to_owned());
    let directory = state.shared.directory.load_full().ok_or_else(unknown_target)?;
    let index = directory.find_target(target).ok_or_else(unknown_target)?;
    Ok(directory.target(index).address.into())
}

async fn connect_once(
    state: &State,
    target: TargetId,
    timeout: Duration,
) -> Result<(), StoreError> {
    store::probe(target_address(state, target)?, timeout).await
}

/// Connects to a target. Accepting a connection proves that it is alive, however long its requests
/// queue.
async fn connect(state: &State, target: TargetId) -> Result<(), StoreError> {
    let address = target_address(state, target)?;
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let mut attempts = Vec::new();
    for _ in 1..MAX_ATTEMPTS {
        attempts.push(Box::pin(store::probe(address, timeout)));
        let delay = async {
            Timer::after(Duration::from_millis(ATTEMPT_DELAY_MS)).await;
            None
        };
        let answer = async { Some(first_success(&mut attempts).await) };
        if let Some(Ok(())) = smol::future::or(answer, delay).await {
            return Ok(());
        }
    }
    attempts.push(Box::pin(store::probe(address, timeout)));
    first_success(&mut attempts).await
}

/// Completes with the first success, or with an error once all attempts have failed.
async fn first_success<F>(attempts: &mut Vec<Pin<Box<F>>>) -> Result<(), StoreError>
where
    F: Future<Output = Result<(), StoreError>>,
{
    future::poll_fn(|context| {
        let mut outcome = None;
        attempts.retain_mut(|attempt| match attempt.as_mut().poll(context) {
            Poll::Ready(Ok(())) => {
                outcome = Some(Ok(()));
                false
            }
            Poll::Ready(Err(error)) => {
                outcome.get_or_insert(Err(error));
                false
            }
            Poll::Pending => true,
        });
        match outcome {
            Some(Ok(())) => Poll::Ready(Ok(())),
            Some(Err(error)) if attempts.is_empty() => Poll::Ready(Err(error)),
            _ => Poll::Pending,
        }
    })
    .await
}
