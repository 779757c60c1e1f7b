//! An edit is accepted at most once and never overwrites another one, whatever the store does.

use expect_test::expect;
use settings::{Blobs, TargetState, Tree, parse};
use smol::block_on;
use stand_ins::memory_store::{Faults, MemoryStore};
use store::{Accepted, Edit, Rejection, Wait, accept, history, load, read_root};

fn tree() -> Tree {
    parse(include_str!("../../../examples/agency.json")).unwrap()
}

fn edit(base_revision: u64, writer_nonce: u64) -> Edit {
    let mut tree = tree();
    tree.policy.slots = Some(writer_nonce as u32 + 1);
    let note = format!("edit {writer_nonce}");
    Edit { tree, base_revision, writer_nonce, note, now_ms: 0 }
}

fn accept_edit(
    store: &MemoryStore,
    base_revision: u64,
    writer_nonce: u64,
) -> Result<Accepted, Rejection> {
    block_on(accept(store, &edit(base_revision, writer_nonce)))
}

fn current_settings(store: &MemoryStore) -> (u64, Option<u32>) {
    block_on(async {
        let (root, _) = read_root(store, Wait::No).await.unwrap();
        let root = root.unwrap();
        let tree = load(store, &root, &mut Blobs::new()).await.unwrap();
        (root.revision, tree.policy.slots)
    })
}

#[test]
fn accepts_successive_edits() {
    let store = MemoryStore::default();
    assert_eq!(accept_edit(&store, 0, 1).unwrap().root.revision, 1);
    assert_eq!(accept_edit(&store, 1, 2).unwrap().root.revision, 2);
    assert_eq!(current_settings(&store), (2, Some(3)));
}

#[test]
fn rejects_outdated_edit() {
    let store = MemoryStore::default();
    accept_edit(&store, 0, 1).unwrap();
    accept_edit(&store, 1, 2).unwrap();
    let conflict = accept_edit(&store, 1, 3).unwrap_err();
    expect![
        "301: the edit started from revision 1, but revision 2 ('edit 2') is in force; get it, merge and apply again"
    ]
    .assert_eq(&conflict.to_string());
    assert_eq!(current_settings(&store), (2, Some(3)));
}

#[test]
fn concurrent_edits() {
    // Both edits are based on the same root; exactly one compare-and-swap may take effect.
    for seed in 0..8 {
        let store = MemoryStore::default();
        accept_edit(&store, 0, 1).unwrap();
        store.set_faults(Faults { delay_ms: 1 + seed % 3, ..Faults::default() });
        let (left, right) = (edit(1, 2), edit(1, 3));
        let both = futures_lite::future::zip(accept(&store, &left), accept(&store, &right));
        let (left, right) = block_on(both);
        let accepted = [left.is_ok(), right.is_ok()];
        assert_eq!(accepted.iter().filter(|is_accepted| **is_accepted).count(), 1);
        store.set_faults(Faults::default());
        let expected = if accepted[0] { Some(3) } else { Some(4) };
        assert_eq!(current_settings(&store), (2, expected));
    }
}

#[test]
fn lost_answers() {
    // However many answers are lost, the edit is accepted once and its writer gets the new root.
    for lost_answers in 1..=4 {
        let store = MemoryStore::default();
        accept_edit(&store, 0, 1).unwrap();
        store.set_faults(Faults { lost_answers, ..Faults::default() });
        assert_eq!(accept_edit(&store, 1, 2).unwrap().root.revision, 2, "{lost_answers} lost");
        assert_eq!(current_settings(&store), (2, Some(3)));
        assert_eq!(block_on(history(&store, 10)).unwrap().len(), 2);
    }
}

#[test]
fn overtaken_edit() {
    // The writer's answer is lost, and another operator's edit is accepted before the writer retries:
    // the retry must find its own edit in the history.
    let store = MemoryStore::default();
    accept_edit(&store, 0, 1).unwrap();
    accept_edit(&store, 1, 2).unwrap();
    accept_edit(&store, 2, 3).unwrap();
    assert_eq!(accept_edit(&store, 1, 2).unwrap().root.revision, 2);
    assert_eq!(current_settings(&store), (3, Some(4)));
}

#[test]
fn store_down() {
    let store = MemoryStore::default();
    accept_edit(&store, 0, 1).unwrap();
    store.set_faults(Faults { is_down: true, ..Faults::default() });
    let error = accept_edit(&store, 1, 2).unwrap_err();
    expect!["201: store unreachable: the store is down"].assert_eq(&error.to_string());
    store.set_faults(Faults::default());
    assert_eq!(current_settings(&store), (1, Some(2)));
}

#[test]
fn stale_read() {
    // A writer that reads an outdated root must not replace the newer one.
    let store = MemoryStore::default();
    accept_edit(&store, 0, 1).unwrap();
    store.set_faults(Faults { is_stale: true, ..Faults::default() });
    accept_edit(&store, 1, 2).unwrap();
    assert!(accept_edit(&store, 1, 3).is_err());
    store.set_faults(Faults::default());
    assert_eq!(current_settings(&store), (2, Some(3)));
}

#[test]
fn rejects_faulty_edit() {
    let store = MemoryStore::default();
    accept_edit(&store, 0, 1).unwrap();
    let before = store.calls().writes;
    let mut faulty = edit(1, 2);
    let service = faulty.tree.services.get_mut("valuations").unwrap();
    service.upstreams.get_mut("rabat-1").unwrap().targets.remove("t01");
    let rejection = block_on(accept(&store, &faulty)).unwrap_err();
    assert!(rejection.to_string().starts_with("112 at /services/valuations/upstreams/rabat-1"));
    assert_eq!(store.calls().writes, before);
    assert_eq!(current_settings(&store).0, 1);
}

#[test]
fn counts_store_calls() {
    // Hosts make no calls for an edit, so the number of calls does not depend on the number of hosts.
    let store = MemoryStore::default();
    accept_edit(&store, 0, 1).unwrap();
    let before = store.calls();
    let mut drain = edit(1, 2);
    drain.tree = tree();
    let service = drain.tree.services.get_mut("valuations").unwrap();
    let upstream = service.upstreams.get_mut("rabat-1").unwrap();
    upstream.targets.get_mut("t01").unwrap().policy.state = Some(TargetState::Leaving);
    // The same value as in the first edit.
    drain.tree.policy.slots = Some(2);
    block_on(accept(&store, &drain)).unwrap();
    let after = store.calls();
    // Reads: the root record and its blobs (the base, two groups and two services). Writes: a copy of
    // the old root record, the changed service, its group and the new root record.
    assert_eq!((after.reads - before.reads, after.writes - before.writes), (6, 4));
}
