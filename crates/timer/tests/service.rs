//! Order, periods and cancellation of subscriptions.

use timer::TimerService;

#[test]
fn sorts_by_deadline() {
    let mut timers = TimerService::default();
    timers.subscribe_at(30, 'c');
    timers.subscribe_at(10, 'a');
    timers.subscribe_at(20, 'b');
    assert_eq!(timers.next_deadline_ms(), Some(10));
    assert_eq!(timers.poll(20), ['a', 'b']);
    assert_eq!(timers.poll(100), ['c']);
    assert_eq!(timers.next_deadline_ms(), None);
}

#[test]
fn merges_missed_periods() {
    let mut timers = TimerService::default();
    timers.subscribe_every(10, 10, 'p');
    assert_eq!(timers.poll(45), ['p']);
    assert_eq!(timers.next_deadline_ms(), Some(50));
}

#[test]
fn cancels_subscription() {
    let mut timers = TimerService::default();
    let id = timers.subscribe_every(10, 10, 'p');
    timers.cancel(id);
    assert_eq!(timers.poll(100), []);
}
