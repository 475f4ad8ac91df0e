use std::collections::BTreeMap;

/// LRU cache of prompt block hashes with a limited number of blocks.
#[derive(Debug, Clone, Default)]
pub(crate) struct PrefixCache {
    limit_blocks: usize,
    /// Value of `use_counter` at the last use of each block hash.
    last_use_by_block: BTreeMap<u64, u64>,
    /// Inverse of `last_use_by_block`; the first entry is evicted next.
    block_by_last_use: BTreeMap<u64, u64>,
    use_counter: u64,
}

/// Insertion or eviction of a block, identified by its hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CacheChange {
    /// The block was added to the cache.
    Stored(u64),
    /// The block was removed to free memory.
    Evicted(u64),
}

impl PrefixCache {
    /// Creates an empty cache.
    pub(crate) fn new(limit_blocks: usize) -> Self {
        Self { limit_blocks, ..Self::default() }
    }

    /// Returns how many leading blocks are cached, and marks them as used.
    pub(crate) fn use_cached_prefix(&mut self, blocks: &[u64]) -> usize {
        let cached = blocks.iter().take_while(|block| self.contains(**block)).count();
        for block in &blocks[..cached] {
            self.mark_used(*block);
        }
        cached
    }

    /// Adds blocks, evicts the least recently used ones above the limit, and appends the changes to `changes`.
    pub(crate) fn store(&mut self, blocks: &[u64], changes: &mut Vec<CacheChange>) {
        for block in blocks {
            if !self.contains(*block) {
                changes.push(CacheChange::Stored(*block));
            }
            self.mark_used(*block);
        }
        while self.last_use_by_block.len() > self.limit_blocks {
            let Some((_, block)) = self.block_by_last_use.pop_first() else { return };
            self.last_use_by_block.remove(&block);
            changes.push(CacheChange::Evicted(block));
        }
    }

    /// Returns whether a block is cached.
    pub(crate) fn contains(&self, block: u64) -> bool {
        self.last_use_by_block.contains_key(&block)
    }

    /// Returns the number of cached blocks.
    pub(crate) fn len(&self) -> usize {
        self.last_use_by_block.len()
    }

    fn mark_used(&mut self, block: u64) {
        self.use_counter += 1;
        if let Some(previous) = self.last_use_by_block.insert(block, self.use_counter) {
            self.block_by_last_use.remove(&previous);
        }
        self.block_by_last_use.insert(self.use_counter, block);
    }
}
