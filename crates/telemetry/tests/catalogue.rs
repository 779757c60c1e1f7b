//! The documentation lists exactly the events and result codes that exist.

use telemetry::Event;

/// Returns the numbers in the first column of the tables in `page`, sorted.
fn numbers_in(page: &str) -> Vec<u16> {
    let mut numbers: Vec<u16> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| "))
        .filter_map(|line| line.split(' ').next()?.parse().ok())
        .collect();
    numbers.sort_unstable();
    numbers
}

#[test]
fn documents_every_event() {
    let page = include_str!("../../../docs/EVENTS.md");
    let numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    assert_eq!(numbers_in(page), numbers);
    for event in Event::ALL {
        assert!(page.contains(&format!("| {} | {} |", event.number(), event.name())));
    }
}

#[test]
fn documents_every_code() {
    let page = include_str!("../../../docs/RESULT-CODES.md");
    let mut codes: Vec<u16> = settings::Code::ALL.iter().map(|code| code.number()).collect();
    // The codes of local files and addresses (1xx), `StoreError` (2xx) and edits (3xx) have no list in
    // the code.
    codes.extend([121, 122, 123, 124, 125, 131, 201, 202, 203, 204, 205, 206, 301, 302, 303, 304]);
    codes.extend(flow::DropReason::ALL.iter().map(|reason| reason.code()));
    // Refused openings.
    codes.extend(501..=504);
    codes.extend(tagged::Reason::ALL.iter().map(|reason| reason.code()));
    assert_eq!(numbers_in(page), codes);
}
