//! Tests of the dispatcher in virtual time.

mod brittle_targets;
mod cold_starts;
mod decisions;
mod fair_order;
mod load_patterns;
mod prompt_parts;
mod simulation;
mod target_limits;
mod target_signals;
mod zone_spill;
