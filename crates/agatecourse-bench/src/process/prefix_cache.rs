use std::collections::BTreeMap;

/// Prefix cache of a simulated engine with least-recently-used eviction.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    capacity_tokens: u64,
    used_tokens: u64,
    /// Number of uses so far; serves as the time of the last use.
    clock: u64,
    /// Time of the last use and size in tokens by block hash.
    entries: BTreeMap<u64, (u64, u32)>,
    /// Block hash by time of the last use.
    block_by_last_use: BTreeMap<u64, u64>,
    evicted: Vec<u64>,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity in tokens.
    pub fn new(capacity_tokens: u64) -> Self {
        Self { capacity_tokens, ..Self::default() }
    }

    /// Returns the number of leading blocks that are cached, and marks them as used.
    pub fn match_blocks(&mut self, blocks: &[u64]) -> usize {
        let count = blocks.iter().take_while(|block| self.entries.contains_key(block)).count();
        // The last block is marked first, so that eviction removes the end of a prefix before its beginning.
        for block in blocks[..count].iter().rev() {
            let tokens = self.entries[block].1;
            self.insert(*block, tokens);
        }
        count
    }

    /// Inserts a block or marks it as used, then evicts the least recently used blocks until the capacity suffices.
    pub fn insert(&mut self, block: u64, tokens: u32) {
        self.clock += 1;
        if let Some((last_use, old_tokens)) = self.entries.insert(block, (self.clock, tokens)) {
            self.block_by_last_use.remove(&last_use);
            self.used_tokens -= u64::from(old_tokens);
        }
        self.block_by_last_use.insert(self.clock, block);
        self.used_tokens += u64::from(tokens);
        while self.used_tokens > self.capacity_tokens
            && let Some((_, oldest)) = self.block_by_last_use.pop_first()
        {
            if let Some((_, tokens)) = self.entries.remove(&oldest) {
                self.used_tokens -= u64::from(tokens);
                self.evicted.push(oldest);
            }
        }
    }

    /// Returns the blocks evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.evicted)
    }
}
