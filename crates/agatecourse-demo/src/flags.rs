#![allow(missing_docs, reason = "the macro takes doc comments as help texts only")]

xflags::xflags! {
    /// Starts stand-ins and three nodes on loopback, sends requests through each node and shows what happened.
    ///
    /// The exit status is 0 only if each caller got the whole answer to its own request and nothing ran twice.
    ///
    /// EXAMPLES:
    ///     cargo run --release --bin agatecourse-demo
    ///     cargo run --release --bin agatecourse-demo -- --json
    ///     cargo run --release --bin agatecourse-demo -- --hold
    cmd agatecourse-demo {
        /// Prints the counts as a JSON object in the last line.
        optional --json
        /// Keeps everything running until SIGINT or SIGTERM and prints a curl line to paste.
        optional --hold
    }
}
