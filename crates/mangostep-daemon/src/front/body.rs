use std::{future::Future, io, pin::Pin};

use {
    bytes::{Bytes, BytesMut},
    rocket::data::{ByteUnit, Data, DataStream},
    tokio::{io::AsyncReadExt, sync::mpsc},
};

use crate::{back::BackBody, prelude::*, refusal::Refusal};

const CHUNK_BYTES: usize = 64 << 10;
const QUEUED_CHUNKS_MAX: usize = 4;

/// Future that sends a caller's body to the back thread while it is polled.
pub(crate) type BodyPump<'r> = Pin<Box<dyn Future<Output = ()> + Send + 'r>>;

/// Body that is forwarded while it is received.
pub(crate) struct StreamedBody<'r> {
    stream: Box<DataStream<'r>>,
    /// Length declared by the caller, in bytes.
    declared: Option<u64>,
    /// Largest accepted length.
    max_bytes: u64,
}

/// Caller's body, buffered if it is small.
pub(crate) enum CallerBody<'r> {
    /// Buffered completely; can be sent again on a retry.
    Buffered(Bytes),
    /// Can be sent only once.
    Streamed(StreamedBody<'r>),
}

impl<'r> CallerBody<'r> {
    /// Receives the body.
    ///
    /// A body with a declared length of up to `replay_bytes` is buffered; any
    /// other one is streamed.
    pub(crate) async fn receive(
        data: Data<'r>,
        declared: Option<u64>,
        context: &HostContext,
    ) -> Result<Self, Refusal> {
        let settings = &context.settings;
        if declared.is_some_and(|length| length > settings.body_bytes) {
            return Err(Refusal::not_run(413, "body-too-large"));
        }
        let read_limit = ByteUnit::from(settings.body_bytes.saturating_add(1));
        let mut stream = data.open(read_limit);
        let Some(length) = declared.filter(|length| *length <= settings.replay_bytes) else {
            return Ok(CallerBody::Streamed(StreamedBody {
                stream: Box::new(stream),
                declared,
                max_bytes: settings.body_bytes,
            }));
        };
        let mut buffered = Vec::new();
        let read = stream.read_to_end(&mut buffered).await;
        if read.is_err() || buffered.len() as u64 != length {
            return Err(Refusal::not_run(400, "body-cut"));
        }
        Ok(CallerBody::Buffered(Bytes::from(buffered)))
    }

    /// Length to declare to the backend server, if known.
    pub(crate) fn declared(&self) -> Option<u64> {
        match self {
            CallerBody::Buffered(bytes) => Some(bytes.len() as u64),
            CallerBody::Streamed(body) => body.declared,
        }
    }

    /// Converts the body for the back thread.
    ///
    /// A streamed body also returns the pump, which must be polled to send it.
    pub(crate) fn into_back(self) -> (BackBody, Option<BodyPump<'r>>) {
        match self {
            CallerBody::Buffered(bytes) => (BackBody::Whole(bytes), None),
            CallerBody::Streamed(body) => {
                let (sender, receiver) = mpsc::channel(QUEUED_CHUNKS_MAX);
                let pump = Box::pin(pump_chunks(body.stream, sender, body.max_bytes));
                (BackBody::Stream(receiver), Some(pump))
            }
        }
    }
}

async fn pump_chunks(
    mut stream: Box<DataStream<'_>>,
    sender: mpsc::Sender<io::Result<Bytes>>,
    max_bytes: u64,
) {
    let mut sent: u64 = 0;
    loop {
        let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
        let item = match stream.read_buf(&mut chunk).await {
            Ok(0) => return,
            Ok(length) => {
                sent += length as u64;
                if sent > max_bytes {
                    Err(io::Error::new(
                        io::ErrorKind::FileTooLarge,
                        "body too large",
                    ))
                } else {
                    Ok(chunk.freeze())
                }
            }
            Err(err) => Err(err),
        };
        let is_last = item.is_err();
        // The receiver is gone if the backend server answered before it read
        // the whole body.
        if sender.send(item).await.is_err() || is_last {
            return;
        }
    }
}
