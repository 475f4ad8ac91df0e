#![allow(missing_docs, reason = "the macro uses doc comments as help texts")]

use std::net::SocketAddr;

xflags::xflags! {
    /// Runs one stand-in. The first line of its output is a JSON object whose field `listening` is the address.
    ///
    /// POST /faults with a JSON object changes faults at run time; GET /faults returns all of them.
    ///
    /// EXAMPLES:
    ///     agatecourse-standin --listen 127.0.0.1:2379 table --writes-per-s 300
    ///     agatecourse-standin engine --name engine-1 --token-ms 20 --batch-limit 16
    ///     agatecourse-standin service --name orders --service-ms 50
    cmd agatecourse-standin {
        /// Address to listen on; by default a loopback address with a port that the system assigns.
        optional --listen address: SocketAddr
        /// Faults that are active from the start, as a JSON object.
        optional --faults json: String

        /// Model engine with continuous batching and a prefix cache.
        cmd engine {
            /// Engine name that GET /v1/state returns.
            optional --name name: String
            /// Model name under which the weight store lists the versions.
            optional --model name: String
            /// Version that is loaded when the engine starts.
            optional --version version: String
            /// Prompt tokens that the engine processes per second.
            optional --read-tokens-per-s rate: u32
            /// Milliseconds per generated token of a request that runs alone.
            optional --token-ms time: u64
            /// Relative increase of the time per token for each additional request in the batch.
            optional --batch-slowdown share: f64
            /// Largest number of requests in a batch.
            optional --batch-limit requests: usize
            /// Largest number of queued requests.
            optional --queue-limit requests: usize
            /// Capacity of the prefix cache in blocks of 64 tokens.
            optional --cache-blocks blocks: usize
            /// Milliseconds after which a load report becomes visible.
            optional --report-lag-ms time: u64
            /// Milliseconds after which a cache event becomes visible.
            optional --cache-event-lag-ms time: u64
            /// Drops every cache event whose sequence number is a multiple of this; 0 drops none.
            optional --cache-event-gap-every events: u64
            /// Milliseconds that loading a version takes in addition to reading its weights.
            optional --load-ms time: u64
            /// Number of versions that fit into memory.
            optional --version-limit versions: usize
            /// Address of the weight store.
            optional --weight-store address: SocketAddr
            /// Refuses orders with a fencing number lower than one seen before.
            optional --fencing-check
        }

        /// Service that counts runs and echoes requests.
        cmd service {
            /// Service name that responses contain.
            optional --name name: String
            /// Milliseconds that each request takes.
            optional --service-ms time: u64
        }

        /// Transactional table (JSON mapping of the etcd v3 API).
        cmd table {
            /// Reads per second; unlimited by default.
            optional --reads-per-s rate: u32
            /// Transactions per second; unlimited by default.
            optional --writes-per-s rate: u32
        }

        /// Object store (S3-style paths).
        cmd object-store {
            /// Reads per second; 2,000 by default.
            optional --reads-per-s rate: u32
            /// Writes per second; 300 by default.
            optional --writes-per-s rate: u32
        }

        /// Weight store whose bandwidth all concurrent readers share.
        cmd weight-store {
            /// Total bandwidth in bytes per second.
            optional --rate-bytes-per-s rate: u64
            /// Size of each version's weights in bytes.
            optional --size-bytes size: u64
            /// Version for which the store responds with status 404.
            repeated --missing version: String
        }

        /// List of VMs; PUT /v1/vms replaces it.
        cmd vm-list {
            /// Milliseconds after which a change becomes visible.
            optional --lag-ms time: u64
        }
    }
}
