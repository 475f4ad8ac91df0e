//! Statistics about the output of models.

mod output_length_estimator;

pub(crate) use output_length_estimator::OutputLengthEstimator;
