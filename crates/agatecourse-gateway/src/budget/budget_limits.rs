/// Memory that the process itself needs, without the part that grows with the VM: program, routes, targets, peers and metrics.
const BASE_BYTES: usize = 24 * 1024 * 1024;
/// Part of the memory that is left to the process itself besides [`BASE_BYTES`], because larger VMs own the larger queues.
const PROCESS_DIVISOR: usize = 8;
/// Parts of the rest that are held for others; what remains is for the buffers of sockets and for what the allocator can't reuse.
const HELD_PARTS: (usize, usize) = (3, 5);
/// Descriptors that the users reserve for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the sockets that is reserved for listeners, readiness, operators, peers and the store.
const RESERVE_DIVISOR: usize = 8;
/// Bounds of that reserve. A node without callers has 14 sockets; each peer may open one.
const MIN_RESERVE: usize = 24;
const MAX_RESERVE: usize = 256;

/// Limits on the memory and the sockets that a node holds for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes that the node holds for callers and targets.
    pub held_bytes: usize,
    /// Sockets of callers and targets together.
    pub shared_sockets: usize,
    /// Sockets of callers.
    pub caller_sockets: usize,
}

impl BudgetLimits {
    /// Derives the limits from the memory and the descriptors of the process.
    pub fn new(memory_mb: usize, max_descriptors: usize) -> Self {
        let memory_bytes = memory_mb.saturating_mul(1024 * 1024);
        let process_bytes = BASE_BYTES + memory_bytes / PROCESS_DIVISOR;
        let rest_bytes = memory_bytes.saturating_sub(process_bytes);
        let sockets = max_descriptors.saturating_sub(FILE_DESCRIPTORS);
        let reserve = (sockets / RESERVE_DIVISOR).clamp(MIN_RESERVE, MAX_RESERVE);
        let shared_sockets = sockets.saturating_sub(reserve);
        Self {
            held_bytes: rest_bytes / HELD_PARTS.1 * HELD_PARTS.0,
            shared_sockets,
            caller_sockets: shared_sockets / 4 * 3,
        }
    }
}
