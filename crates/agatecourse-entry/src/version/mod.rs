//! State that lives as long as a target version.

mod output_length_estimator;

pub(crate) use output_length_estimator::OutputLengthEstimator;
