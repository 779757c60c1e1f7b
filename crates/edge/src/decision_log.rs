//! Logs decisions about flows.

use tagged::{Event as Decision, ExitChange, StandingCause};
use telemetry::{Event, field};

/// Logs `events`, and that `dropped` more were discarded before they could be logged.
pub(crate) fn write(events: &[Decision], dropped: u64) {
    for event in events {
        log_decision(event);
    }
    if dropped > 0 {
        telemetry::emit(Event::DecisionsLeftOut, &[field("count", dropped)]);
    }
}

fn log_decision(event: &Decision) {
    match event {
        Decision::Opened { key, target, copy, flows, is_near, revision, view_age_ms } => {
            telemetry::emit(
                Event::FlowOpened,
                &[
                    field("caller", key.caller),
                    field("listener", key.listener),
                    field("target", format_args!("{:x}", target.0)),
                    field("copy", copy),
                    field("flows", flows),
                    field("near", is_near),
                    field("era", revision.era),
                    field("revision", revision.number),
                    field("view_age_ms", view_age_ms),
                ],
            )
        }
        Decision::Reset { key, target, reason, revision, view_age_ms } => telemetry::emit(
            Event::FlowReset,
            &[
                field("caller", key.caller),
                field("listener", key.listener),
                field("target", format_args!("{:x}", target.map_or(0, |target| target.0))),
                field("code", reason.code()),
                field("reason", format_args!("{reason:?}")),
                field("era", revision.era),
                field("revision", revision.number),
                field("view_age_ms", view_age_ms),
            ],
        ),
        Decision::Shortage(shortage) => telemetry::emit(
            Event::ServiceShortage,
            &[
                field("service", format_args!("{:x}", shortage.service_seed)),
                field("state", if shortage.lasted_ms.is_some() { "ended" } else { "began" }),
                field("priority", shortage.priority),
                field("lasted_ms", shortage.lasted_ms.unwrap_or(0)),
                field("waited", shortage.waited),
                field("refused", shortage.refused),
                field("floor_placed", shortage.floor_placed),
            ],
        ),
        Decision::Standing { target, standing, cause, failed_openings, stalled_flows } => {
            let (cause, reporter) = match cause {
                StandingCause::Evidence => ("Evidence", 0),
                StandingCause::Check => ("Check", 0),
                StandingCause::Report(host) => ("Report", host.0),
                StandingCause::Progress => ("Progress", 0),
                StandingCause::Unlisted => ("Unlisted", 0),
                StandingCause::Expiry => ("Expiry", 0),
            };
            telemetry::emit(
                Event::TargetStanding,
                &[
                    field("target", format_args!("{:x}", target.0)),
                    field("standing", format_args!("{standing:?}")),
                    field("cause", cause),
                    field("reporter", format_args!("{reporter:x}")),
                    field("failed_openings", failed_openings),
                    field("stalled_flows", stalled_flows),
                ],
            );
        }
        Decision::SetAside { target, is_set_aside, answers, failures } => telemetry::emit(
            Event::TargetSetAside,
            &[
                field("target", format_args!("{:x}", target.0)),
                field("set_aside", is_set_aside),
                field("answers", answers),
                field("failures", failures),
            ],
        ),
        Decision::DomainExit { listener, change } => {
            let (event, estimate) = match change {
                ExitChange::Began(estimate) => (Event::DomainExitBegan, estimate),
                ExitChange::Ended(estimate) => (Event::DomainExitEnded, estimate),
            };
            telemetry::emit(
                event,
                &[
                    field("listener", listener),
                    field("near_wait_us", estimate.near_wait_us),
                    field("far_wait_us", estimate.far_wait_us),
                    field("cost_us", estimate.cost_us),
                ],
            );
        }
    }
}
