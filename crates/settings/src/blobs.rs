//! The storage layout of a tree in the platform's store.
//!
//! A tree is split into content-addressed blobs: the base, which holds everything but the services,
//! one blob for each service, and groups that list services with their digests. The root record
//! holds the digests of the base and the groups. An edit of one service writes that service, its
//! group and the root, regardless of the size of the tree.

use std::{collections::BTreeMap, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{ServiceNode, Tree};

/// The largest blob, in bytes: the store's limit for a value, less a reserve for its encoding.
pub const BLOB_LIMIT_BYTES: usize = 700_000;

/// The number of groups over which services are distributed by a hash of their names.
const GROUP_COUNT: u8 = 64;

/// The BLAKE3 digest of a blob, as 64 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(String);

impl Digest {
    /// The digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(blake3::hash(bytes).to_hex().to_string())
    }

    /// The digest as hexadecimal digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Digest {
    type Err = RootError;

    fn from_str(text: &str) -> Result<Digest, RootError> {
        let is_digest = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_digest {
            return Err(RootError::Malformed("a digest has 64 hexadecimal digits".to_owned()));
        }
        Ok(Digest(text.to_owned()))
    }
}

/// The root record. A tree is accepted by a compare-and-swap of this one value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Root {
    /// The revision; each accepted edit has a higher one.
    pub revision: u64,
    /// The digest of the blob that holds the previous root.
    pub previous: Option<Digest>,
    /// A random number by which a writer recognizes its own root when the response to the
    /// compare-and-swap was lost.
    pub writer_nonce: u64,
    /// The operator's description of the edit.
    pub note: String,
    /// When the edit was accepted, in milliseconds since 1970. Informational only.
    pub accepted_at_ms: u64,
    /// The digest of the tree without its services.
    pub base: Digest,
    /// The digests of the groups, by group number.
    pub groups: BTreeMap<u8, Digest>,
}

/// A group of services with the digests of their blobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The digests by service name.
    pub services: BTreeMap<String, Digest>,
}

/// Blobs by digest.
pub type Blobs = BTreeMap<Digest, Vec<u8>>;

/// A tree split into blobs, ready to be written.
#[derive(Debug, Clone, PartialEq)]
pub struct Packed {
    /// The digest of the base. The writer adds the remaining fields of the root record.
    pub base: Digest,
    /// The digests of the groups, by group number.
    pub groups: BTreeMap<u8, Digest>,
    /// The blobs that have to be in the store before the root is swapped.
    pub blobs: Blobs,
}

/// Why a root record or its blobs cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RootError {
    /// These blobs have to be fetched first.
    Missing(Vec<Digest>),
    /// A record does not have the expected format.
    Malformed(String),
}

impl fmt::Display for RootError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RootError::Missing(digests) => write!(f, "{} blobs are missing", digests.len()),
            RootError::Malformed(cause) => write!(f, "malformed settings record: {cause}"),
        }
    }
}

impl std::error::Error for RootError {}

/// Splits `tree` into blobs.
pub fn pack(tree: &Tree) -> Packed {
    let mut blobs = Blobs::new();
    let base = add_blob(&mut blobs, &Tree { services: BTreeMap::new(), ..tree.clone() });
    let mut groups: BTreeMap<u8, Group> = BTreeMap::new();
    for (name, service) in &tree.services {
        let digest = add_blob(&mut blobs, service);
        let group = groups.entry(group_of(name)).or_default();
        group.services.insert(name.clone(), digest);
    }
    let groups =
        groups.into_iter().map(|(number, group)| (number, add_blob(&mut blobs, &group))).collect();
    Packed { base, groups, blobs }
}

/// Assembles the tree of `root` from `blobs`.
///
/// # Errors
///
/// Returns the digests of missing blobs, or the cause if a blob is malformed.
pub fn unpack(root: &Root, blobs: &Blobs) -> Result<Tree, RootError> {
    let mut missing = Vec::new();
    let base: Option<Tree> = read_blob(blobs, &root.base, &mut missing)?;
    let mut services: BTreeMap<String, ServiceNode> = BTreeMap::new();
    for digest in root.groups.values() {
        let Some(group) = read_blob::<Group>(blobs, digest, &mut missing)? else { continue };
        for (name, digest) in &group.services {
            if let Some(service) = read_blob(blobs, digest, &mut missing)? {
                services.insert(name.clone(), service);
            }
        }
    }
    match base {
        Some(base) if missing.is_empty() => Ok(Tree { services, ..base }),
        _ => Err(RootError::Missing(missing)),
    }
}

/// The paths of the services that exceed [`BLOB_LIMIT_BYTES`], and their sizes in bytes.
pub(crate) fn oversized(tree: &Tree) -> Vec<(String, usize)> {
    tree.services
        .iter()
        .map(|(name, service)| (format!("/services/{name}"), encode(service).len()))
        .filter(|(_, size_bytes)| *size_bytes > BLOB_LIMIT_BYTES)
        .collect()
}

fn group_of(service_name: &str) -> u8 {
    blake3::hash(service_name.as_bytes()).as_bytes()[0] % GROUP_COUNT
}

fn add_blob<T: Serialize>(blobs: &mut Blobs, value: &T) -> Digest {
    let bytes = encode(value);
    let digest = Digest::of(&bytes);
    blobs.insert(digest.clone(), bytes);
    digest
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    match serde_json::to_vec(value) {
        Ok(bytes) => bytes,
        Err(error) => unreachable!("settings have string keys only: {error}"),
    }
}

fn read_blob<T: for<'a> Deserialize<'a>>(
    blobs: &Blobs,
    digest: &Digest,
    missing: &mut Vec<Digest>,
) -> Result<Option<T>, RootError> {
    let Some(bytes) = blobs.get(digest) else {
        missing.push(digest.clone());
        return Ok(None);
    };
    let value = serde_json::from_slice(bytes)
        .map_err(|error| RootError::Malformed(format!("blob {digest}: {error}")))?;
    Ok(Some(value))
}
