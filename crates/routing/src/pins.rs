//! The table of pins, which record the target and the state of each flow.

use std::{mem, net::IpAddr};

use flow::FlowHash;
use hashbrown::HashTable;

/// The state of a pinned flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum PinState {
    /// The opening waits for a target.
    Waiting = 0,
    /// The opening was sent to the target, which has not answered yet.
    Opening = 1,
    /// The target accepted; the caller has not acknowledged it yet.
    Answered = 2,
    /// The caller acknowledged the target's answer.
    Established = 3,
    /// The flow was opened before this host knew of it; targets are tried one after another.
    Searching = 4,
    /// The flow has ended; its last packets are still forwarded.
    Closing = 5,
    /// The search ended at a target that did not reset the flow; nothing has confirmed it yet.
    Guessed = 6,
}

impl PinState {
    const ALL: [PinState; 7] = [
        PinState::Waiting,
        PinState::Opening,
        PinState::Answered,
        PinState::Established,
        PinState::Searching,
        PinState::Closing,
        PinState::Guessed,
    ];

    /// The state with this number.
    pub fn from_number(number: u8) -> Option<PinState> {
        PinState::ALL.get(usize::from(number)).copied()
    }
}

/// A target's position in a [`TargetDirectory`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetHandle(pub u32);

/// The handle of a pin that has no target.
pub const TARGET_NONE: TargetHandle = TargetHandle(u32::MAX);

/// Interns target addresses, so that a pin needs only four bytes for its target.
///
/// Addresses are never removed: a handle stays valid for the life of the process.
#[derive(Debug, Default)]
pub struct TargetDirectory {
    addresses: Vec<IpAddr>,
    sorted: Vec<(IpAddr, TargetHandle)>,
}

impl TargetDirectory {
    /// The handle of `address`, which is added if it is new.
    pub fn intern(&mut self, address: IpAddr) -> TargetHandle {
        match self.sorted.binary_search_by_key(&address, |entry| entry.0) {
            Ok(position) => self.sorted[position].1,
            Err(position) => {
                let handle = TargetHandle(self.addresses.len() as u32);
                self.addresses.push(address);
                self.sorted.insert(position, (address, handle));
                handle
            }
        }
    }

    /// The address of `handle`, or `None` for [`TARGET_NONE`].
    pub fn address(&self, handle: TargetHandle) -> Option<IpAddr> {
        self.addresses.get(handle.0 as usize).copied()
    }
}

/// A flow and its target. Times (`_ds`) are in tenths of a second of the host's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pin {
    /// The flow.
    pub hash: FlowHash,
    /// The target.
    pub target: TargetHandle,
    /// The key of the listener, the same on every host.
    pub listener_key: u32,
    /// The target's initial sequence number, from [`PinState::Answered`] on.
    pub sequence: u32,
    /// When the flow was opened.
    pub opened_at_ds: u32,
    /// When the last packet of the flow was seen.
    pub seen_at_ds: u32,
    /// The sequence number that follows the last data of the caller.
    pub caller_sequence: u32,
    /// When the caller last sent new data.
    pub progress_at_ds: u32,
    /// The state of the flow.
    pub state: PinState,
    /// The number of targets tried, or, once there is a target, how often the caller
    /// retransmitted the same data.
    pub attempts: u8,
    /// Whether the pin was sent, or queued to be sent, to the other hosts that keep a copy.
    pub is_copied: bool,
}

/// The number of pins in a block of the table.
const PINS_PER_BLOCK: usize = 1024;

/// The pins of a host by flow hash.
///
/// Pins are stored in fixed-size blocks that never move; a hash index maps a flow hash to a
/// four-byte slot number.
#[derive(Debug, Default)]
pub struct PinTable {
    blocks: Vec<Box<[Option<Pin>]>>,
    /// The empty slots of all blocks.
    free: Vec<u32>,
    index: HashTable<u32>,
}

impl PinTable {
    /// The number of pins.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether there are no pins.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// The allocated memory of the table, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let blocks = self.blocks.len() * PINS_PER_BLOCK * mem::size_of::<Option<Pin>>();
        blocks + self.free.capacity() * mem::size_of::<u32>() + self.index.allocation_size()
    }

    /// The pin of the flow `hash`.
    pub fn get(&self, hash: FlowHash) -> Option<&Pin> {
        let blocks = &self.blocks;
        let slot = self.index.find(index_hash(hash), |slot| holds_pin(blocks, *slot, hash))?;
        pin_at(blocks, *slot)
    }

    /// The pin of the flow `hash`, for changes in place.
    pub fn get_mut(&mut self, hash: FlowHash) -> Option<&mut Pin> {
        let blocks = &self.blocks;
        let slot = *self.index.find(index_hash(hash), |slot| holds_pin(blocks, *slot, hash))?;
        self.blocks[slot as usize / PINS_PER_BLOCK][slot as usize % PINS_PER_BLOCK].as_mut()
    }

    /// Stores `pin`, replacing any pin of the same flow.
    pub fn insert(&mut self, pin: Pin) {
        if let Some(present) = self.get_mut(pin.hash) {
            *present = pin;
            return;
        }
        if self.free.is_empty() {
            self.add_block();
        }
        let Some(slot) = self.free.pop() else { return };
        self.blocks[slot as usize / PINS_PER_BLOCK][slot as usize % PINS_PER_BLOCK] = Some(pin);
        let blocks = &self.blocks;
        self.index.insert_unique(index_hash(pin.hash), slot, |slot| {
            pin_at(blocks, *slot).map_or(0, |pin| index_hash(pin.hash))
        });
    }

    /// Removes and returns the pin of the flow `hash`.
    pub fn remove(&mut self, hash: FlowHash) -> Option<Pin> {
        let blocks = &self.blocks;
        let entry =
            self.index.find_entry(index_hash(hash), |slot| holds_pin(blocks, *slot, hash)).ok()?;
        let (slot, _) = entry.remove();
        self.free.push(slot);
        self.blocks[slot as usize / PINS_PER_BLOCK][slot as usize % PINS_PER_BLOCK].take()
    }

    /// All pins, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Pin> {
        self.blocks.iter().flat_map(|block| block.iter().flatten())
    }

    /// The number of blocks, for an incremental scan with [`PinTable::block`].
    pub fn block_count(&self) -> usize {
        self.blocks.len()
    }

    /// The pins of one block.
    pub fn block(&self, number: usize) -> impl Iterator<Item = &Pin> {
        self.blocks[number].iter().flatten()
    }

    fn add_block(&mut self) {
        let first = (self.blocks.len() * PINS_PER_BLOCK) as u32;
        self.blocks.push(vec![None; PINS_PER_BLOCK].into_boxed_slice());
        self.free.extend((first..first + PINS_PER_BLOCK as u32).rev());
    }
}

fn index_hash(hash: FlowHash) -> u64 {
    hash.seed()
}

fn pin_at(blocks: &[Box<[Option<Pin>]>], slot: u32) -> Option<&Pin> {
    blocks[slot as usize / PINS_PER_BLOCK][slot as usize % PINS_PER_BLOCK].as_ref()
}

fn holds_pin(blocks: &[Box<[Option<Pin>]>], slot: u32, hash: FlowHash) -> bool {
    pin_at(blocks, slot).is_some_and(|pin| pin.hash == hash)
}
