#![allow(missing_docs, reason = "the macro takes doc comments as help texts only")]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Manages an agatecourse deployment.
    ///
    /// EXAMPLES:
    ///     agatecoursectl keys make --directory keys --deployment kaewkla
    ///     agatecoursectl keys issue node-a --directory keys
    ///     agatecoursectl config put fleet.ini --table 10.0.0.9:2379 --base 7
    ///     agatecoursectl config diff 6 current --table 10.0.0.9:2379
    ///     agatecoursectl status --node 10.0.0.1:9090 --token-file token
    ///     agatecoursectl drain engine-3 --node 10.0.0.1:9090 --token-file token
    cmd agatecoursectl {
        /// Prints one JSON object instead of a table.
        optional --json

        /// Manages deployment keys and node certificates.
        cmd keys {
            /// Creates the first deployment key.
            cmd make {
                /// Directory of the keys.
                required --directory directory: PathBuf
                /// Name of the deployment.
                required --deployment name: String
                /// Days until the key expires; 365 unless set.
                optional --days days: u32
            }
            /// Issues a certificate for a node.
            cmd issue {
                /// Name of the node.
                required name: String
                /// Directory of the keys.
                required --directory directory: PathBuf
                /// Number of the deployment key; the highest unless set.
                optional --key number: u32
                /// Days until the certificate expires; 90 unless set.
                optional --days days: u32
            }
            /// Creates a further deployment key; the existing ones stay valid.
            cmd rotate {
                /// Directory of the keys.
                required --directory directory: PathBuf
                /// Name of the deployment.
                required --deployment name: String
                /// Days until the key expires; 365 unless set.
                optional --days days: u32
            }
            /// Shows all certificates with their expiry.
            cmd list show {
                /// Directory of the keys.
                required --directory directory: PathBuf
            }
        }

        /// Manages the configuration of the deployment.
        cmd config {
            /// Checks a configuration and lists all its faults. A JSON object is checked as a configuration for the hosting platform.
            cmd check {
                /// File with the configuration.
                required file: PathBuf
                /// File with the configuration in force, for the hosting platform only; what differs is listed.
                optional --against file: PathBuf
            }
            /// Activates a configuration as the next version.
            cmd put {
                /// File with the configuration.
                required file: PathBuf
                /// Address of the table.
                required --table address: SocketAddr
                /// Version that the file is based on; the put fails if another one is active.
                optional --base version: u64
            }
            /// Prints the active configuration or another version.
            cmd show {
                /// Address of the table.
                required --table address: SocketAddr
                /// Version to print.
                optional --version version: u64
            }
            /// Compares two configurations: each a version, `current` or a file.
            cmd diff {
                /// First configuration.
                required from: String
                /// Second configuration.
                required to: String
                /// Address of the table.
                required --table address: SocketAddr
            }
            /// Lists all versions.
            cmd history {
                /// Address of the table.
                required --table address: SocketAddr
            }
        }

        /// Shows the state of the deployment as a node sees it.
        cmd status {
            /// Operators' address of a node.
            required --node address: SocketAddr
            /// File with the operators' token.
            required --token-file file: PathBuf
        }
        /// Prints the complete state of a node as JSON.
        cmd dump {
            /// Operators' address of the node.
            required node: SocketAddr
            /// File with the operators' token.
            required --token-file file: PathBuf
        }
        /// Explains why a request was placed or refused.
        cmd explain {
            /// Id of the request.
            required request: String
            /// Operators' address of the node that accepted it.
            required --node address: SocketAddr
            /// File with the operators' token.
            required --token-file file: PathBuf
        }
        /// Lists the log lines of a request from all nodes, with the related target and queue changes.
        ///
        /// Example: cat node-*.log | agatecoursectl trace 33832ac9a8077b76
        cmd trace {
            /// Id of the request.
            required request: String
            /// Log files; standard input if none is given.
            repeated file: PathBuf
        }
        /// Drains a target: it gets no new requests.
        cmd drain {
            /// Name of the target.
            required target: String
            /// Ends the drain.
            optional --undo
            /// Operators' address of any node.
            required --node address: SocketAddr
            /// File with the operators' token.
            required --token-file file: PathBuf
        }
        /// Releases a fingerprint from quarantine.
        cmd release {
            /// Fingerprint as 16 hexadecimal digits.
            required fingerprint: String
            /// Operators' address of any node.
            required --node address: SocketAddr
            /// File with the operators' token.
            required --token-file file: PathBuf
        }
    }
}
