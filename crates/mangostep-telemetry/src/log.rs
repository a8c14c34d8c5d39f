use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// Creates a logger that writes JSON lines to standard error.
///
/// Log only changes of state; frequent events are counted in the metrics
/// instead.
pub fn open_log(host: &str) -> Logger {
    let json = Mutex::new(slog_json::Json::default(std::io::stderr())).map(slog::Fuse);
    let drain = slog_async::Async::new(json).chan_size(1024).build().fuse();
    Logger::root(drain, o!("host" => host.to_owned()))
}
