use std::{
    io::{self, Read, Write},
    net::SocketAddr,
};

use {
    bytes::Bytes,
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    mangostep_policy::{StoreVersion, TableDelta},
    serde::{Deserialize, Serialize},
    slog::info,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

use crate::{front::accept_each, platform::FleetTable, prelude::*};

/// Maximum time to connect to a peer: many round trips between zones. With a
/// network partition, it is faster to try the next peer that has the copy.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum time to read a copy from a peer.
const READ_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum size of a delta, in bytes: twice the size of the server table of a
/// fleet of the target size.
const DELTA_BYTES_MAX: u32 = 8 << 20;

/// Bytes that the length of a frame takes.
const LENGTH_BYTES: usize = size_of::<u32>();

/// Lowest expected ratio of the size of a change to its size on the network.
pub(crate) const COPY_COMPRESSION: usize = 4;

/// Number of encoded copies kept for further hosts with the same request: the
/// last two changes of each table.
const FRAMES_MAX: usize = 6;

/// Key of an encoded copy: the table, the version that the requesting host
/// has, and the version of the copy.
pub(super) type CopyKey = (FleetTable, StoreVersion, StoreVersion);

/// Requests the changes of a table after a version.
#[derive(Debug, Serialize, Deserialize)]
struct CopyRequest {
    table: FleetTable,
    after: StoreVersion,
}

/// Serves the known changes of tables to peers until the host closes.
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
    let request: CopyRequest = read_frame(&mut stream).await?;
    let frame = copy_frame(context, &request)?;
    stream.write_all(&frame).await?;
    stream.shutdown().await
}

/// Returns the encoded response to a request. Many hosts send the same request
/// at the same time and share the response.
fn copy_frame(context: &HostContext, request: &CopyRequest) -> io::Result<Bytes> {
    let tables = context.tables.borrow();
    let state = tables.of(request.table);
    let mut frames = context.peers.copy_frames.borrow_mut();
    let key = (request.table, request.after, state.copy.version());
    if let Some((_, frame)) = frames.iter().find(|(cached, _)| *cached == key) {
        return Ok(frame.clone());
    }
    let delta = match state.is_known {
        true => state.copy.delta_after(request.after),
        false => TableDelta::default(),
    };
    let frame = Bytes::from(encode_frame(&delta)?);
    if frames.len() >= FRAMES_MAX {
        frames.pop_front();
    }
    frames.push_back((key, frame.clone()));
    Ok(frame)
}

/// Reads the changes of a table after a version from a peer. Returns `None` if
/// the peer has not read the table.
pub(crate) async fn read_copy(
    table: FleetTable,
    after: StoreVersion,
    address: SocketAddr,
) -> Result<Option<TableDelta>, EntryError> {
    let read = async {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let mut stream = connecting.await.map_err(io::Error::from)??;
        stream.set_nodelay(true)?;
        let request = encode_frame(&CopyRequest { table, after })?;
        stream.write_all(&request).await?;
        read_frame(&mut stream).await
    };
    let failed = |err: io::Error| EntryError::new("read copy", address, err);
    let delta: TableDelta = timeout(READ_TIMEOUT, read)
        .await
        .map_err(|_| failed(io::ErrorKind::TimedOut.into()))?
        .map_err(failed)?;
    Ok((delta.version > StoreVersion::default()).then_some(delta))
}

/// Encodes a value as a frame: the length of its compressed form, then that
/// form.
fn encode_frame(value: &impl Serialize) -> io::Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let frame = vec![0; LENGTH_BYTES];
    let mut encoder = DeflateEncoder::new(frame, Compression::fast());
    encoder.write_all(&bytes)?;
    let mut frame = encoder.finish()?;
    let length = u32::try_from(frame.len() - LENGTH_BYTES).map_err(io::Error::other)?;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(frame)
}

async fn read_frame<T: serde::de::DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    let length = stream.read_u32().await?;
    if length > DELTA_BYTES_MAX {
        return Err(io::Error::other("the frame is too large"));
    }
    // Memory grows with the received bytes, not with the announced length.
    let mut compressed = Vec::new();
    stream
        .take(length.into())
        .read_to_end(&mut compressed)
        .await?;
    if compressed.len() < length as usize {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    decode_frame(&compressed)
}

/// Decodes the compressed form of a value of at most [`DELTA_BYTES_MAX`] bytes.
fn decode_frame<T: serde::de::DeserializeOwned>(compressed: &[u8]) -> io::Result<T> {
    let mut bytes = Vec::new();
    let bytes_max = u64::from(DELTA_BYTES_MAX);
    let decoder = DeflateDecoder::new(compressed);
    decoder.take(bytes_max + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > bytes_max {
        return Err(io::Error::other("the decompressed frame is too large"));
    }
    postcard::from_bytes(&bytes).map_err(io::Error::other)
}
