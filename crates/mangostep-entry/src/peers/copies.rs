use std::{io, net::SocketAddr};

use {
    bytes::Bytes,
    mangostep_policy::TableDelta,
    serde::{Deserialize, Serialize},
    slog::info,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

use crate::{front::accept_each, platform::FleetTable, prelude::*};

/// Longest time to connect to another host: many passes between zones. The next
/// host that has the copy is asked sooner than a cut way shows.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time to read a copy from another host.
const READ_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Largest delta, in bytes: twice the servers of the target size.
const DELTA_BYTES_MAX: u32 = 8 << 20;

/// Answers that are kept for further hosts with the same question: each table's
/// last two changes.
const FRAMES_MAX: usize = 6;

/// What an answer was made for: the table, the version that the asking host
/// has and the version up to which the answer leads.
pub(super) type CopyAsked = (FleetTable, u64, u64);

/// Asks for the changes of a table after a version.
#[derive(Debug, Serialize, Deserialize)]
struct CopyQuestion {
    table: FleetTable,
    after: u64,
}

/// Gives other hosts the changes that this one knows, until the host closes.
pub(crate) fn serve_copies(
    context: &Rc<HostContext>,
    address: SocketAddr,
) -> Result<(), EntryError> {
    let shared = Rc::clone(context);
    accept_each(context, address, move |stream| {
        let context = Rc::clone(&shared);
        tokio::task::spawn_local(async move {
            let served = timeout(READ_TIMEOUT, serve_copy(&context, stream)).await;
            if let Ok(Err(err)) = served {
                info!(context.log, "copy not served"; "error" => err.to_string());
            }
        });
    })
}

async fn serve_copy(context: &HostContext, mut stream: TcpStream) -> io::Result<()> {
    let question: CopyQuestion = read_frame(&mut stream).await?;
    let frame = copy_frame(context, &question)?;
    stream.write_all(&frame).await?;
    stream.shutdown().await
}

/// The answer to a question, as it is sent. Many hosts ask the same at once
/// and share it.
fn copy_frame(context: &HostContext, question: &CopyQuestion) -> io::Result<Bytes> {
    let tables = context.tables.borrow();
    let state = tables.of(question.table);
    let mut frames = context.peers.frames.borrow_mut();
    let asked = (question.table, question.after, state.copy.version());
    if let Some((_, frame)) = frames.iter().find(|(of, _)| *of == asked) {
        return Ok(frame.clone());
    }
    let delta = match state.is_known {
        true => state.copy.delta_after(question.after),
        false => TableDelta::default(),
    };
    let frame = Bytes::from(encode_frame(&delta)?);
    if frames.len() >= FRAMES_MAX {
        frames.pop_front();
    }
    frames.push_back((asked, frame.clone()));
    Ok(frame)
}

/// Reads the changes of a table after a version from another host; none when
/// that host does not know the table.
pub(crate) async fn read_copy(
    table: FleetTable,
    after: u64,
    address: SocketAddr,
) -> Result<Option<TableDelta>, EntryError> {
    let read = async {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let mut stream = connecting.await.map_err(io::Error::from)??;
        stream.set_nodelay(true)?;
        let question = encode_frame(&CopyQuestion { table, after })?;
        stream.write_all(&question).await?;
        read_frame(&mut stream).await
    };
    let failed = |err: io::Error| EntryError::new("read copy", address, err);
    let delta: TableDelta = timeout(READ_TIMEOUT, read)
        .await
        .map_err(|_| failed(io::ErrorKind::TimedOut.into()))?
        .map_err(failed)?;
    Ok((delta.version > 0).then_some(delta))
}

/// A value as it is sent: its length, then its bytes.
fn encode_frame(value: &impl Serialize) -> io::Result<Vec<u8>> {
    const LENGTH_BYTES: usize = size_of::<u32>();
    let mut frame = postcard::to_extend(value, vec![0; LENGTH_BYTES]).map_err(io::Error::other)?;
    let length = u32::try_from(frame.len() - LENGTH_BYTES).map_err(io::Error::other)?;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(frame)
}

async fn read_frame<T: serde::de::DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    let length = stream.read_u32().await?;
    if length > DELTA_BYTES_MAX {
        return Err(io::Error::other("the frame is too large"));
    }
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(io::Error::other)
}
