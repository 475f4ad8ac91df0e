use siphasher::sip::SipHasher13;
use std::hash::Hasher;

// All nodes must compute the same owner, so the SipHash key is fixed and each part is length-prefixed.
const KEY_0: u64 = 0x6167_6174_6563_6f75;
const KEY_1: u64 = 0x7273_655f_6861_7368;

/// Hashes parts to the same value on every node and in every release.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(KEY_0, KEY_1);
    for part in parts {
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part);
    }
    hasher.finish()
}

/// Returns the same value as [`stable_hash`] for `parts` and one more part that consists of segments.
pub fn stable_hash_with_segments<'a>(
    parts: &[&[u8]],
    segments: impl Iterator<Item = &'a [u8]> + Clone,
) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(KEY_0, KEY_1);
    for part in parts {
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part);
    }
    let length: usize = segments.clone().map(<[u8]>::len).sum();
    hasher.write(&(length as u64).to_le_bytes());
    segments.for_each(|segment| hasher.write(segment));
    hasher.finish()
}

/// Returns the candidate with the highest rendezvous hash for a key, or `None` without candidates.
pub fn rendezvous_owner<'a>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    candidates.into_iter().max_by_key(|node| (rendezvous_score(key, node), *node))
}

/// Returns all candidates ordered from the highest rendezvous hash for a key to the lowest.
pub fn rank_by_rendezvous<'a>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = candidates.into_iter().collect();
    ranked.sort_by_key(|node| std::cmp::Reverse((rendezvous_score(key, node), *node)));
    ranked
}

fn rendezvous_score(key: &str, candidate: &str) -> u64 {
    stable_hash(&[key.as_bytes(), candidate.as_bytes()])
}

#[cfg(test)]
mod tests;
