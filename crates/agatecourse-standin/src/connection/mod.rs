//! State of one accepted connection.

mod accepted_connection;

pub(crate) use accepted_connection::AcceptedConnection;
