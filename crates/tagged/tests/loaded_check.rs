//! Health checks by a host whose answers are late because it or its link is loaded.
//!
//! Failure scenario: a link is full, so that a sound target accepts a connection after more time than
//! a check waits for it, while the second target of the check accepts just in time. The flows of the
//! sound target are reset.

use tagged::{CheckOutcome, CheckVerdict, judge_check};

/// How long a check waits at first, in milliseconds.
const WAITED_MS: u64 = 130;

#[test]
fn late_reference() {
    assert_eq!(judge_check(false, Some(100), WAITED_MS), CheckOutcome::Extended(270));
    assert_eq!(
        judge_check(true, Some(100), WAITED_MS + 200),
        CheckOutcome::Verdict(CheckVerdict::Answered)
    );
    assert_eq!(
        judge_check(false, Some(100), WAITED_MS + 270),
        CheckOutcome::Verdict(CheckVerdict::Failed)
    );
}

#[test]
fn prompt_reference() {
    let failed = CheckOutcome::Verdict(CheckVerdict::Failed);
    assert_eq!(judge_check(false, Some(6), WAITED_MS), failed);
    let unclear = CheckOutcome::Verdict(CheckVerdict::Unclear);
    assert_eq!(judge_check(false, None, WAITED_MS), unclear);
}
