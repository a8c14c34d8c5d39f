//! Sends requests to backend servers, over pooled connections.

mod pools;
mod queue;

use std::thread::JoinHandle;

use {
    futures::StreamExt,
    reqwest::Response,
    tokio::{
        runtime::Builder,
        sync::{mpsc, oneshot, watch},
    },
};

pub(crate) use crate::back::queue::{BackReceiver, BackSender, PoolHandle};

use crate::{back::pools::ServerPools, entry_host::StopPhase, prelude::*};

/// One attempt at a request, to be sent by the back thread.
pub(crate) struct BackJob {
    pub(crate) address: std::net::SocketAddr,
    pub(crate) method: reqwest::Method,
    /// Path and query.
    pub(crate) target: String,
    pub(crate) headers: reqwest::header::HeaderMap,
    pub(crate) body: BackBody,
    pub(crate) connect_timeout: Duration,
    pub(crate) reply: oneshot::Sender<Result<Response, BackFailure>>,
}

pub(crate) enum BackBody {
    Whole(bytes::Bytes),
    Stream(mpsc::Receiver<std::io::Result<bytes::Bytes>>),
}

/// Why an attempt got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BackFailure {
    /// The connection was not established; no byte of the request was sent.
    ConnectFailed,
    /// The connection failed; the server may have run the request.
    Broken,
    /// The attempt exceeded its time; the server may have run the request.
    TimedOut,
}

/// Starts the back thread.
pub(crate) fn spawn(
    context: Arc<HostContext>,
    mut jobs: BackReceiver,
    mut stopped: watch::Receiver<StopPhase>,
) -> Result<JoinHandle<()>, DaemonError> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(context.settings.back_threads)
        .thread_name("back")
        .enable_all()
        .build()
        .map_err(|err| DaemonError::new("start runtime", "back thread", err))?;
    let run = move || {
        runtime.block_on(async move {
            let mut pools = ServerPools::new(context.settings.outgoing);
            loop {
                tokio::select! {
                    job = jobs.next() => match job {
                        Some(job) => {
                            pools.discard(jobs.take_discarded());
                            start_job(&mut pools, job);
                        }
                        None => break,
                    },
                    _ = stopped.wait_for(|phase| *phase == StopPhase::Stopped) => break,
                }
            }
        });
        runtime.shutdown_timeout(Duration::from_millis(200));
    };
    std::thread::Builder::new()
        .name("back".to_owned())
        .spawn(run)
        .map_err(|err| DaemonError::new("start thread", "back thread", err))
}

fn start_job(pools: &mut ServerPools, job: BackJob) {
    let Ok(client) = pools.client(job.address, job.connect_timeout) else {
        // The front thread may have dropped the receiver.
        let _ = job.reply.send(Err(BackFailure::ConnectFailed));
        return;
    };
    tokio::spawn(run_job(client, job));
}

async fn run_job(client: reqwest::Client, job: BackJob) {
    let BackJob {
        address,
        method,
        target,
        headers,
        body,
        mut reply,
        ..
    } = job;
    let body = match body {
        BackBody::Whole(bytes) => reqwest::Body::from(bytes),
        BackBody::Stream(receiver) => {
            let chunks = futures::stream::unfold(receiver, |mut receiver| async move {
                receiver.recv().await.map(|chunk| (chunk, receiver))
            });
            reqwest::Body::wrap_stream(chunks.boxed())
        }
    };
    let send = client
        .request(method, format!("http://{address}{target}"))
        .headers(headers)
        .body(body)
        .send();
    let result = tokio::select! {
        result = send => result,
        // The front thread cancelled the attempt. Dropping the send closes the
        // connection, so that a late answer cannot reach another request.
        () = reply.closed() => return,
    };
    let answer = match result {
        // HTTP defines no others, and hyper accepts all three-digit ones.
        Ok(answer) if answer.status().as_u16() >= 600 => Err(BackFailure::Broken),
        Ok(answer) => Ok(answer),
        Err(err) if err.is_connect() => Err(BackFailure::ConnectFailed),
        Err(_) => Err(BackFailure::Broken),
    };
    // The front thread may have cancelled the attempt just now.
    let _ = reply.send(answer);
}
