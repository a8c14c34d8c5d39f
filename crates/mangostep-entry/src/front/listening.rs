use std::{net::SocketAddr, time::Duration};

use {
    slog::warn,
    socket2::{Domain, Socket, Type},
    tokio::net::{TcpListener, TcpStream},
};

use crate::{context::HostPhase, front::connection::serve_connection, prelude::*};

/// Length of the queue of connections to accept. When the queue is full,
/// connection attempts are lost and repeated only after seconds.
const BACKLOG: i32 = 1024;

/// Pause after an error of `accept`, which occurs when the process has no free
/// file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener, EntryError> {
    let open = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    open().map_err(|err| EntryError::new("listen", address, err))
}

/// Serves callers on an address until the host closes.
pub(crate) fn serve_callers(
    context: &Rc<HostContext>,
    address: SocketAddr,
) -> Result<(), EntryError> {
    let shared = Rc::clone(context);
    accept_each(context, address, move |stream| {
        tokio::task::spawn_local(serve_connection(Rc::clone(&shared), stream));
    })
}

/// Calls `serve` with each accepted connection, until the host closes.
pub(crate) fn accept_each(
    context: &Rc<HostContext>,
    address: SocketAddr,
    serve: impl Fn(TcpStream) + 'static,
) -> Result<(), EntryError> {
    let listener = listen(address)?;
    let context = Rc::clone(context);
    tokio::task::spawn_local(async move {
        while context.phase.get() < HostPhase::Closing {
            match listener.accept().await {
                Ok((stream, _)) => serve(stream),
                Err(err) => {
                    warn!(context.log, "connection not accepted";
                        "address" => address.to_string(), "error" => err.to_string());
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    });
    Ok(())
}
