use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasherDefault, Hasher};

// Part of a target's prefixes that one gap in its cache events makes doubtful. Dropping half of them at each gap
// lowered the hits in a trial of the bench `prefill` from 0.70 to 0.52 of one engine with unlimited memory.
const GAP_DROP_DIVISOR: usize = 16;

/// Bit set of target slots; a pool has at most 16 targets.
pub(super) type SlotMask = u16;

/// Map from prefix hashes. It is never iterated in an order that decides anything.
///
/// One pass over the queue looks up as many as 128 hashes.
type PrefixMap<V> = HashMap<u64, V, BuildHasherDefault<PrefixHasher>>;

/// Hasher for keys that are hashes already.
#[derive(Debug, Clone, Copy, Default)]
struct PrefixHasher(u64);

impl Hasher for PrefixHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, hash: u64) {
        self.0 = hash;
    }
}

/// Prefixes that the targets of a pool probably hold.
///
/// Each target keeps a bounded number of prefix hashes; at the bound, the least recently used one is dropped.
/// One map from hash to targets makes a lookup independent of the number of targets.
#[derive(Debug, Clone)]
pub(super) struct PrefixIndex {
    holders: PrefixMap<SlotMask>,
    slots: Vec<SlotPrefixes>,
    limit: usize,
}

#[derive(Debug, Clone, Default)]
struct SlotPrefixes {
    last_use: PrefixMap<u64>,
    by_use: BTreeMap<u64, u64>,
    clock: u64,
}

impl PrefixIndex {
    /// Creates an index for a number of slots with a bound on the hashes of each.
    pub(super) fn new(slots: usize, limit: usize) -> Self {
        Self { holders: PrefixMap::default(), slots: vec![SlotPrefixes::default(); slots], limit }
    }

    /// Returns the targets that hold each of the hashes, in the order of the hashes.
    pub(super) fn holders<'a>(&'a self, hashes: &'a [u64]) -> impl Iterator<Item = SlotMask> + 'a {
        hashes.iter().map(|hash| self.holders.get(hash).copied().unwrap_or_default())
    }

    /// Records that a target uses a prefix.
    pub(super) fn insert(&mut self, slot: usize, hash: u64) {
        let prefixes = &mut self.slots[slot];
        prefixes.clock += 1;
        if let Some(old) = prefixes.last_use.insert(hash, prefixes.clock) {
            prefixes.by_use.remove(&old);
        }
        prefixes.by_use.insert(prefixes.clock, hash);
        *self.holders.entry(hash).or_default() |= 1 << slot;
        if self.slots[slot].last_use.len() > self.limit {
            self.remove_oldest(slot);
        }
    }

    /// Records that a target dropped a prefix.
    pub(super) fn remove(&mut self, slot: usize, hash: u64) {
        if let Some(used) = self.slots[slot].last_use.remove(&hash) {
            self.slots[slot].by_use.remove(&used);
            self.remove_holder(slot, hash);
        }
    }

    /// Drops the least recently used prefixes of a target, because lost events may have evicted them.
    pub(super) fn forget_oldest(&mut self, slot: usize) {
        for _ in 0..self.slots[slot].last_use.len() / GAP_DROP_DIVISOR {
            self.remove_oldest(slot);
        }
    }

    /// Drops all prefixes of a target.
    pub(super) fn clear(&mut self, slot: usize) {
        for hash in std::mem::take(&mut self.slots[slot]).last_use.into_keys() {
            self.remove_holder(slot, hash);
        }
    }

    /// Returns the number of prefixes of a target.
    pub(super) fn len(&self, slot: usize) -> usize {
        self.slots[slot].last_use.len()
    }

    fn remove_oldest(&mut self, slot: usize) {
        let prefixes = &mut self.slots[slot];
        if let Some((_, hash)) = prefixes.by_use.pop_first() {
            prefixes.last_use.remove(&hash);
            self.remove_holder(slot, hash);
        }
    }

    fn remove_holder(&mut self, slot: usize, hash: u64) {
        if let Some(mask) = self.holders.get_mut(&hash) {
            *mask &= !(1 << slot);
            if *mask == 0 {
                self.holders.remove(&hash);
            }
        }
    }
}
