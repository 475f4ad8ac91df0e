//! Tests of the dispatcher in virtual time.

mod cold_starts;
mod decisions;
mod load_patterns;
mod prompt_parts;
mod simulation;
mod target_limits;
mod target_signals;
