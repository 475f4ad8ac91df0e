use agatecourse_config::{CallerConfig, FleetConfig, TargetConfig};
use agatecourse_core::request::PoolDirectory;
use agatecourse_types::ConfigVersion;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use subtle::ConstantTimeEq;

/// The active configuration with indexes for the lookups of each request.
#[derive(Debug)]
pub(crate) struct FleetView {
    pub(crate) version: ConfigVersion,
    pub(crate) config: FleetConfig,
    pub(crate) pools: PoolDirectory,
    /// Key hash and name of the callers, by the first four bytes of the hash.
    callers: HashMap<[u8; 4], Vec<([u8; 32], String)>>,
}

impl FleetView {
    pub(crate) fn new(version: ConfigVersion, config: FleetConfig) -> Self {
        let mut callers: HashMap<[u8; 4], Vec<([u8; 32], String)>> = HashMap::new();
        for caller in config.callers.values() {
            if let Some(hash) = parse_sha256(&caller.key_sha256) {
                callers.entry(bucket_of(&hash)).or_default().push((hash, caller.name.clone()));
            }
        }
        let mut pools = PoolDirectory::new();
        for route in config.routes.keys() {
            let serves = |target: &&TargetConfig| target.routes.contains(route);
            let targets = config.targets.values().filter(serves).map(|target| target.name.clone());
            pools.set_route(route.clone(), targets);
        }
        Self { version, config, pools, callers }
    }

    /// Returns the caller that is configured with the SHA-256 of this key.
    pub(crate) fn caller(&self, key: &str) -> Option<&CallerConfig> {
        let hash: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        // Against timing attacks, the bucket depends on the hash only and the hashes are compared in constant time.
        let candidates = self.callers.get(&bucket_of(&hash))?;
        let found = candidates.iter().find(|(known, _)| bool::from(known.ct_eq(&hash)))?;
        self.config.callers.get(&found.1)
    }
}

/// Returns whether a secret has the expected SHA-256 (hexadecimal); the comparison takes constant time.
pub(crate) fn secret_matches(secret: &str, expected_sha256: &str) -> bool {
    let hash: [u8; 32] = Sha256::digest(secret.as_bytes()).into();
    parse_sha256(expected_sha256).is_some_and(|expected| expected.ct_eq(&hash).into())
}

fn bucket_of(hash: &[u8; 32]) -> [u8; 4] {
    [hash[0], hash[1], hash[2], hash[3]]
}

fn parse_sha256(text: &str) -> Option<[u8; 32]> {
    let mut hash = [0; 32];
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * index..2 * index + 2)?, 16).ok()?;
    }
    Some(hash)
}
