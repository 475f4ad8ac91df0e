use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::HashMap;

/// Length of the parts of the base that are looked up in the target.
const BLOCK_BYTES: usize = 32;
/// Odd factor of the rolling hash.
const HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Largest document in bytes that is restored.
const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;

/// Error of a delta that does not fit its base.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(super) enum DeltaError {
    /// The bytes are no delta.
    #[snafu(display("delta can't be decoded"))]
    Malformed,
    /// The delta copies bytes that its base does not have.
    #[snafu(display("delta does not fit its base"))]
    OutOfBase,
    /// The document would be larger than 16 MiB.
    #[snafu(display("document exceeds 16 MiB"))]
    TooLarge,
}

/// Part of a document in terms of its base.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Part {
    Copy { start: u32, length: u32 },
    Insert(Vec<u8>),
}

/// Returns the differences of `target` from `base`.
pub(super) fn encode_delta(base: &[u8], target: &[u8]) -> Vec<u8> {
    let blocks = base.chunks_exact(BLOCK_BYTES).enumerate();
    let mut starts: HashMap<u64, usize> = HashMap::new();
    for (index, block) in blocks {
        starts.entry(hash_block(block)).or_insert(index * BLOCK_BYTES);
    }
    let oldest_factor = (1..BLOCK_BYTES).fold(1_u64, |power, _| power.wrapping_mul(HASH_FACTOR));
    let mut parts = Vec::new();
    // `target[inserted..at]` was not found in the base.
    let (mut inserted, mut at) = (0, 0);
    let mut hash = target.get(..BLOCK_BYTES).map_or(0, hash_block);
    while let Some(block) = target.get(at..at + BLOCK_BYTES) {
        let found = starts.get(&hash).filter(|start| base[**start..].starts_with(block));
        if let Some(&start) = found {
            let before = common_suffix(&base[..start], &target[inserted..at]);
            let length = before + common_prefix(&base[start..], &target[at..]);
            let (start, copied) = (start - before, at - before);
            if copied > inserted {
                parts.push(Part::Insert(target[inserted..copied].to_vec()));
            }
            parts.push(Part::Copy { start: start as u32, length: length as u32 });
            at = copied + length;
            inserted = at;
            hash = target.get(at..at + BLOCK_BYTES).map_or(0, hash_block);
        } else {
            let newest = target.get(at + BLOCK_BYTES).copied().unwrap_or_default();
            hash = hash
                .wrapping_sub(u64::from(block[0]).wrapping_mul(oldest_factor))
                .wrapping_mul(HASH_FACTOR)
                .wrapping_add(u64::from(newest));
            at += 1;
        }
    }
    if inserted < target.len() {
        parts.push(Part::Insert(target[inserted..].to_vec()));
    }
    postcard::to_allocvec(&parts).unwrap_or_default()
}

/// Restores a document from its base.
///
/// # Errors
///
/// Returns a [`DeltaError`] if the delta is malformed, was made for another base, or the document is too large.
pub(super) fn apply_delta(base: &[u8], delta: &[u8]) -> Result<Vec<u8>, DeltaError> {
    let parts: Vec<Part> = postcard::from_bytes(delta).map_err(|_| DeltaError::Malformed)?;
    let mut document = Vec::new();
    for part in &parts {
        let bytes = match part {
            Part::Insert(bytes) => bytes.as_slice(),
            Part::Copy { start, length } => {
                let (start, length) = (*start as usize, *length as usize);
                base.get(start..start.saturating_add(length)).ok_or(DeltaError::OutOfBase)?
            }
        };
        if document.len() + bytes.len() > MAX_DOCUMENT_BYTES {
            return Err(DeltaError::TooLarge);
        }
        document.extend_from_slice(bytes);
    }
    Ok(document)
}

fn hash_block(block: &[u8]) -> u64 {
    block
        .iter()
        .fold(0_u64, |hash, byte| hash.wrapping_mul(HASH_FACTOR).wrapping_add(u64::from(*byte)))
}

fn common_prefix(one: &[u8], other: &[u8]) -> usize {
    one.iter().zip(other).take_while(|(one, other)| one == other).count()
}

fn common_suffix(one: &[u8], other: &[u8]) -> usize {
    one.iter().rev().zip(other.iter().rev()).take_while(|(one, other)| one == other).count()
}
