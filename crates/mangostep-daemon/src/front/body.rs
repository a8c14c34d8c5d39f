use std::{future::Future, io, pin::Pin};

use {
    bytes::{Bytes, BytesMut},
    rocket::data::{ByteUnit, Data, DataStream},
    tokio::{io::AsyncReadExt, sync::mpsc},
};

use crate::{back::BackBody, prelude::*, refusal::Refusal};

const CHUNK_BYTES: usize = 64 << 10;
const CHUNKS_IN_FLIGHT: usize = 4;

/// Moves a caller's body to the back thread while it is polled.
pub(crate) type BodyPump<'r> = Pin<Box<dyn Future<Output = ()> + Send + 'r>>;

/// A body that is moved on while it arrives.
pub(crate) struct StreamedBody<'r> {
    stream: Box<DataStream<'r>>,
    /// Length that the caller declared.
    declared: Option<u64>,
    /// Largest length that is taken, in bytes.
    most: u64,
}

/// A caller's body, held whole when it is small.
pub(crate) enum CallerBody<'r> {
    /// Can be sent again.
    Whole(Bytes),
    /// Can be sent once.
    Streamed(StreamedBody<'r>),
}

impl<'r> CallerBody<'r> {
    /// Takes the body; a declared length up to `replay_bytes` is read whole.
    pub(crate) async fn take(
        data: Data<'r>,
        declared: Option<u64>,
        context: &HostContext,
    ) -> Result<Self, Refusal> {
        let settings = &context.settings;
        if declared.is_some_and(|length| length > settings.body_bytes) {
            return Err(Refusal::not_run(413, "body-too-large"));
        }
        let most = ByteUnit::from(settings.body_bytes.saturating_add(1));
        let mut stream = data.open(most);
        let Some(length) = declared.filter(|length| *length <= settings.replay_bytes) else {
            return Ok(CallerBody::Streamed(StreamedBody {
                stream: Box::new(stream),
                declared,
                most: settings.body_bytes,
            }));
        };
        let mut whole = Vec::new();
        let read = stream.read_to_end(&mut whole).await;
        if read.is_err() || whole.len() as u64 != length {
            return Err(Refusal::not_run(400, "body-cut"));
        }
        Ok(CallerBody::Whole(Bytes::from(whole)))
    }

    /// The length that the backend server is told, when it is known.
    pub(crate) fn declared(&self) -> Option<u64> {
        match self {
            CallerBody::Whole(bytes) => Some(bytes.len() as u64),
            CallerBody::Streamed(body) => body.declared,
        }
    }

    /// Splits a streamed body into the part for the back thread and a pump.
    pub(crate) fn into_back(self) -> (BackBody, Option<BodyPump<'r>>) {
        match self {
            CallerBody::Whole(bytes) => (BackBody::Whole(bytes), None),
            CallerBody::Streamed(body) => {
                let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
                let pump = Box::pin(pump_chunks(body.stream, sender, body.most));
                (BackBody::Stream(receiver), Some(pump))
            }
        }
    }
}

async fn pump_chunks(
    mut stream: Box<DataStream<'_>>,
    sender: mpsc::Sender<io::Result<Bytes>>,
    most: u64,
) {
    let mut sent: u64 = 0;
    loop {
        let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
        let item = match stream.read_buf(&mut chunk).await {
            Ok(0) => return,
            Ok(length) => {
                sent += length as u64;
                if sent > most {
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
        let ends = item.is_err();
        // The receiver is gone when the backend server answered early.
        if sender.send(item).await.is_err() || ends {
            return;
        }
    }
}
