use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time since its last use for which an engine is assumed to keep a part of a prompt. Under heavy load, engines read their whole memory
/// anew in about this time.
const PART_LIFETIME: Duration = Duration::from_secs(10);
/// Most parts in the index; about 3 MB.
const MAX_PARTS: usize = 32_768;

/// Part of a prompt; parts before it are different or missing in other prompts with the same part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Hash of the part's id.
    pub part: u64,
    /// Number of its tokens.
    pub tokens: u32,
}

/// Parts of a prompt in order.
pub type PromptParts = SmallVec<[PromptPart; 2]>;

/// Number of a target in a dispatcher, never used for another target or process.
pub(super) type TargetNumber = u32;

#[derive(Debug, Clone, Copy)]
struct Holder {
    target: TargetNumber,
    used: Instant,
}

/// Which targets keep which parts of prompts.
#[derive(Debug, Clone, Default)]
pub(super) struct PrefixIndex {
    holders: HashMap<u64, Vec<Holder>>,
}

impl PrefixIndex {
    /// Records that a target reads a prompt, and keeps its parts.
    pub(super) fn record(&mut self, now: Instant, target: TargetNumber, parts: &[PromptPart]) {
        for part in parts {
            let holders = self.holders.entry(part.part).or_default();
            holders.retain(|holder| holder.target != target && is_kept(now, holder));
            holders.push(Holder { target, used: now });
        }
        self.make_room(now);
    }

    /// Returns for each target that keeps a beginning of the prompt how many tokens of it the target need not read again. An engine reads
    /// all parts after the first one that it does not keep.
    pub(super) fn kept_tokens(
        &self,
        now: Instant,
        parts: &[PromptPart],
    ) -> HashMap<TargetNumber, u32> {
        let mut kept: HashMap<TargetNumber, (usize, u32)> = HashMap::new();
        for (index, part) in parts.iter().enumerate() {
            let Some(holders) = self.holders.get(&part.part) else { break };
            for holder in holders.iter().filter(|holder| is_kept(now, holder)) {
                if index == 0 {
                    kept.insert(holder.target, (1, part.tokens));
                } else if let Some((count, tokens)) = kept.get_mut(&holder.target)
                    && *count == index
                {
                    *count += 1;
                    *tokens += part.tokens;
                }
            }
        }
        kept.into_iter().map(|(target, (_, tokens))| (target, tokens)).collect()
    }

    /// Removes the parts that were used least recently if there are too many.
    fn make_room(&mut self, now: Instant) {
        let mut lifetime = PART_LIFETIME;
        while self.holders.len() > MAX_PARTS && !lifetime.is_zero() {
            self.holders.retain(|_, holders| {
                holders.iter().any(|holder| now.saturating_duration_since(holder.used) < lifetime)
            });
            lifetime /= 2;
        }
    }
}

fn is_kept(now: Instant, holder: &Holder) -> bool {
    now.saturating_duration_since(holder.used) < PART_LIFETIME
}
