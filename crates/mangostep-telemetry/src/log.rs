use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// Opens a logger that writes JSON lines to standard error.
///
/// Lines are for changes of state; what happens often is counted instead.
pub fn open_log(host: &str) -> Logger {
    let json = Mutex::new(slog_json::Json::default(std::io::stderr())).map(slog::Fuse);
    let drain = slog_async::Async::new(json).chan_size(1024).build().fuse();
    Logger::root(drain, o!("host" => host.to_owned()))
}
