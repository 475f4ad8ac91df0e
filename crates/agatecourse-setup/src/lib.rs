//! Questionnaire that generates a validated agatecourse configuration.
//!
//! Answers are INI text, either written by hand or collected by [`interview`]. [`generate`] converts them into a fleet
//! configuration in which a comment above each value names the answer that it comes from, and validates the result with
//! the checker that the nodes use.
//!
//! ```
//! use agatecourse_setup::{Answers, generate};
//!
//! let faults = Answers::parse("answers.ini", "[deployment]\nname = demo\n").unwrap_err();
//! assert!(faults.to_string().contains("region"));
//! ```

mod answers;
mod generate;
mod interview;
mod questions;

pub use answers::{Answers, CallerAnswers, TargetGroupAnswers, TierAnswers, WorkAnswers};
pub use generate::{GenerateError, GeneratedConfig, IssuedKey, generate};
pub use interview::{InterviewEnd, interview};
pub use questions::{QUESTION_GROUPS, Question, QuestionGroup};
