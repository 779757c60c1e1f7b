//! Acceptance of an edit of the settings by one compare-and-swap of the root record.

use std::fmt;

use settings::{
    Blobs, Digest, Fault, Packed, Root, RootError, Tree, check, check_change, pack, unpack,
};

use crate::{Entry, KeyValue, StoreError, SwapResult, Wait};

const ROOT_KEY: &str = "wagtailstall/root";
const BLOB_PREFIX: &str = "wagtailstall/blobs/";

/// The number of attempts to accept an edit before the store counts as unavailable.
const MAX_ATTEMPTS: usize = 5;

/// How many root records are searched for an edit that was accepted although the store's answer was
/// lost.
const MAX_ROOTS_SEARCHED: usize = 32;

/// An edit of the settings, as an operator submits it.
#[derive(Debug, Clone, PartialEq)]
pub struct Edit {
    /// The complete new tree.
    pub tree: Tree,
    /// The revision that the edit is based on; 0 for the first tree.
    pub base_revision: u64,
    /// A random number that identifies this edit.
    pub writer_nonce: u64,
    /// The operator's description of the edit.
    pub note: String,
    /// The current time, in milliseconds since 1970.
    pub now_ms: u64,
}

/// An accepted edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// The root record in force.
    pub root: Root,
    /// The number of calls to the store that were needed.
    pub store_calls: usize,
}

/// Why an edit was not accepted.
#[derive(Debug, Clone, PartialEq)]
pub enum Rejection {
    /// The tree or the change is invalid. Nothing was written.
    InvalidSettings(Vec<Fault>),
    /// Another edit has been accepted since the base revision, code 301.
    Conflict {
        /// The revision that the edit is based on.
        base_revision: u64,
        /// The revision in force.
        current_revision: u64,
        /// The note of the edit in force.
        note: String,
    },
    /// A call to the store failed.
    Store(StoreError),
    /// A record in the store is malformed or missing, code 302.
    Record(RootError),
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::InvalidSettings(faults) => {
                for fault in faults {
                    writeln!(f, "{fault}")?;
                }
                write!(f, "{} faults; nothing was written", faults.len())
            }
            Rejection::Conflict { base_revision, current_revision, note } => write!(
                f,
                "301: the edit started from revision {base_revision}, but revision \
                 {current_revision} ('{note}') is in force; get it, merge and apply again"
            ),
            Rejection::Store(error) => write!(f, "{error}"),
            Rejection::Record(error) => write!(f, "302: {error}"),
        }
    }
}

impl std::error::Error for Rejection {}

impl From<StoreError> for Rejection {
    fn from(error: StoreError) -> Rejection {
        Rejection::Store(error)
    }
}

impl From<RootError> for Rejection {
    fn from(error: RootError) -> Rejection {
        Rejection::Record(error)
    }
}

/// Validates `edit` and puts it in force.
///
/// If the answer to the compare-and-swap is lost, the root record is read again: it contains the
/// edit's nonce if the write took effect.
///
/// # Errors
///
/// Returns the reason for which the edit is not in force.
pub async fn accept<S: KeyValue>(store: &S, edit: &Edit) -> Result<Accepted, Rejection> {
    let faults = check(&edit.tree);
    if !faults.is_empty() {
        return Err(Rejection::InvalidSettings(faults));
    }
    let packed = pack(&edit.tree);
    let mut writer = EditWriter { store, calls: 0 };
    let mut last_error = None;
    for _ in 0..MAX_ATTEMPTS {
        match writer.attempt(edit, &packed).await {
            Err(Rejection::Store(error @ StoreError::NoAnswer(_))) => last_error = Some(error),
            Ok(root) => return Ok(Accepted { root, store_calls: writer.calls }),
            Err(rejection) => return Err(rejection),
        }
    }
    let default_error = StoreError::NoAnswer("the store failed repeatedly".to_owned());
    Err(Rejection::Store(last_error.unwrap_or(default_error)))
}

/// Reads the root record, waiting for a change if `wait` says so. Returns it with the index of the
/// read.
///
/// # Errors
///
/// Fails if the store fails or if the value is not a root record.
pub async fn read_root<S: KeyValue>(
    store: &S,
    wait: Wait,
) -> Result<(Option<Root>, u64), Rejection> {
    let read = store.get(ROOT_KEY, wait).await?;
    let root = read.entry.as_ref().map(parse_root).transpose()?;
    Ok((root, read.index))
}

/// Reads the blobs of `root` that are missing in `blobs`, and assembles the tree.
///
/// # Errors
///
/// Fails if the store fails or if a blob does not match its digest.
pub async fn load<S: KeyValue>(
    store: &S,
    root: &Root,
    blobs: &mut Blobs,
) -> Result<Tree, Rejection> {
    loop {
        let missing = match unpack(root, blobs) {
            Ok(tree) => return Ok(tree),
            Err(RootError::Missing(missing)) => missing,
            Err(error) => return Err(error.into()),
        };
        for digest in missing {
            let bytes = read_blob(store, &digest).await?;
            blobs.insert(digest, bytes);
        }
    }
}

/// Returns up to `limit` root records, newest first, starting with the one in force.
///
/// # Errors
///
/// Fails if the store fails or if a record is malformed.
pub async fn history<S: KeyValue>(store: &S, limit: usize) -> Result<Vec<Root>, Rejection> {
    let (mut next, _) = read_root(store, Wait::No).await?;
    let mut roots = Vec::new();
    while let Some(root) = next {
        if roots.len() == limit {
            break;
        }
        next = match &root.previous {
            Some(digest) => Some(read_previous(store, digest).await?),
            None => None,
        };
        roots.push(root);
    }
    Ok(roots)
}

/// Attempts to accept an edit, and counts its calls to the store.
struct EditWriter<'a, S> {
    store: &'a S,
    calls: usize,
}

impl<S: KeyValue> EditWriter<'_, S> {
    async fn attempt(&mut self, edit: &Edit, packed: &Packed) -> Result<Root, Rejection> {
        self.calls += 1;
        let read = self.store.get(ROOT_KEY, Wait::No).await?;
        let current = read.entry.as_ref().map(parse_root).transpose()?;
        if let Some(root) = self.find_accepted(edit, current.as_ref()).await? {
            return Ok(root);
        }
        let current_revision = current.as_ref().map_or(0, |root| root.revision);
        if current_revision != edit.base_revision {
            return Err(Rejection::Conflict {
                base_revision: edit.base_revision,
                current_revision,
                note: current.map_or(String::new(), |root| root.note),
            });
        }
        let (previous, known) = self.check_and_archive_root(edit, current.as_ref()).await?;
        self.write_blobs(packed, &known).await?;
        let root = Root {
            revision: current_revision + 1,
            previous,
            writer_nonce: edit.writer_nonce,
            note: edit.note.clone(),
            accepted_at_ms: edit.now_ms,
            base: packed.base.clone(),
            groups: packed.groups.clone(),
        };
        let modify_index = read.entry.map_or(0, |entry| entry.modify_index);
        self.calls += 1;
        match self.store.compare_and_swap(ROOT_KEY, &encode_root(&root), modify_index).await? {
            SwapResult::Stored => Ok(root),
            // The next attempt reads the root of the other writer and reports the conflict.
            SwapResult::Conflict => {
                let cause = "the root changed during the swap".to_owned();
                Err(Rejection::Store(StoreError::NoAnswer(cause)))
            }
        }
    }

    /// Searches the history for this edit: after a lost answer, it may already be in force or even be
    /// followed by other edits.
    async fn find_accepted(
        &mut self,
        edit: &Edit,
        current: Option<&Root>,
    ) -> Result<Option<Root>, Rejection> {
        let mut next = current.cloned();
        for _ in 0..MAX_ROOTS_SEARCHED {
            let Some(root) = next else { return Ok(None) };
            if root.writer_nonce == edit.writer_nonce {
                return Ok(Some(root));
            }
            if root.revision <= edit.base_revision {
                return Ok(None);
            }
            let Some(digest) = &root.previous else { return Ok(None) };
            self.calls += 1;
            next = Some(read_previous(self.store, digest).await?);
        }
        Ok(None)
    }

    /// Validates the change and stores the current root record as a blob. Returns the digest of that
    /// blob, and the blobs that are already in the store.
    async fn check_and_archive_root(
        &mut self,
        edit: &Edit,
        current: Option<&Root>,
    ) -> Result<(Option<Digest>, Blobs), Rejection> {
        let mut blobs = Blobs::new();
        let Some(root) = current else { return Ok((None, blobs)) };
        let old = load(self.store, root, &mut blobs).await?;
        self.calls += blobs.len();
        let faults = check_change(&old, &edit.tree);
        if !faults.is_empty() {
            return Err(Rejection::InvalidSettings(faults));
        }
        let bytes = encode_root(root);
        let digest = Digest::of(&bytes);
        self.write_blob(&digest, &bytes).await?;
        Ok((Some(digest), blobs))
    }

    async fn write_blobs(&mut self, packed: &Packed, known: &Blobs) -> Result<(), Rejection> {
        for (digest, bytes) in &packed.blobs {
            if !known.contains_key(digest) {
                self.write_blob(digest, bytes).await?;
            }
        }
        Ok(())
    }

    /// Writes a blob. A conflict is ignored, because it means that the blob already exists: its key is
    /// the digest of its content.
    async fn write_blob(&mut self, digest: &Digest, bytes: &[u8]) -> Result<(), Rejection> {
        self.calls += 1;
        self.store.compare_and_swap(&format!("{BLOB_PREFIX}{digest}"), bytes, 0).await?;
        Ok(())
    }
}

async fn read_blob<S: KeyValue>(store: &S, digest: &Digest) -> Result<Vec<u8>, Rejection> {
    let read = store.get(&format!("{BLOB_PREFIX}{digest}"), Wait::No).await?;
    let entry = read.entry.ok_or_else(|| RootError::Missing(vec![digest.clone()]))?;
    if Digest::of(&entry.value) != *digest {
        let cause = format!("blob {digest} does not match its digest");
        return Err(RootError::Malformed(cause).into());
    }
    Ok(entry.value)
}

async fn read_previous<S: KeyValue>(store: &S, digest: &Digest) -> Result<Root, Rejection> {
    let bytes = read_blob(store, digest).await?;
    parse_root(&Entry { value: bytes, modify_index: 0 })
}

fn parse_root(entry: &Entry) -> Result<Root, Rejection> {
    serde_json::from_slice(&entry.value)
        .map_err(|error| Rejection::Record(RootError::Malformed(error.to_string())))
}

fn encode_root(root: &Root) -> Vec<u8> {
    match serde_json::to_vec(root) {
        Ok(bytes) => bytes,
        Err(error) => unreachable!("root records have valid JSON keys: {error}"),
    }
}
