use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::Instant,
};

use crate::proxy::{LinkFlow, LinkRule};

const CHUNK_BYTES: usize = 64 << 10;

/// Chunks of one direction that may be queued for their delay.
const QUEUED_CHUNKS_MAX: usize = 64;

/// An open connection.
#[derive(Debug)]
pub(crate) struct ProxyLink {
    pub(crate) source: IpAddr,
    pub(crate) rule: watch::Sender<LinkRule>,
}

/// Counts the bytes of one source, over all its connections.
#[derive(Debug, Default)]
pub(crate) struct LinkCounter {
    pub(crate) to_target: AtomicU64,
    pub(crate) to_source: AtomicU64,
    pub(crate) connections: AtomicU64,
}

/// Forwards one connection until both directions have ended.
///
/// Without a target the connection stays open and silent.
pub(crate) async fn relay(
    stream: TcpStream,
    target: Option<SocketAddr>,
    rule: watch::Receiver<LinkRule>,
    counter: Arc<LinkCounter>,
) {
    counter.connections.fetch_add(1, Ordering::Relaxed);
    let _ = stream.set_nodelay(true);
    let Some(target) = target else {
        return hang(stream, rule).await;
    };
    // A target that cannot be reached ends the connection of the source.
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    let _ = other.set_nodelay(true);
    let (source_reader, source_writer) = stream.into_split();
    let (target_reader, target_writer) = other.into_split();
    let there = forward_direction(
        source_reader,
        target_writer,
        rule.clone(),
        &counter.to_target,
        |rule| rule.to_target,
    );
    let back = forward_direction(
        target_reader,
        source_writer,
        rule,
        &counter.to_source,
        |rule| rule.to_source,
    );
    // One direction may end long before the other.
    let _ = tokio::join!(there, back);
}

/// Holds a connection open and silent until its source closes it.
async fn hang(mut stream: TcpStream, mut rule: watch::Receiver<LinkRule>) {
    tokio::select! {
        _ = discard_bytes(&mut stream) => {}
        _ = rule.wait_for(|rule| rule.is_reset) => {
            // If the option cannot be set, the connection closes with a FIN.
            let _ = stream.set_zero_linger();
        }
    }
}

async fn discard_bytes(reader: &mut (impl AsyncReadExt + Unpin)) -> io::Result<()> {
    let mut piece = vec![0; CHUNK_BYTES];
    while reader.read(&mut piece).await? > 0 {}
    Ok(())
}

/// Forwards one direction under the rule in force when bytes arrive.
async fn forward_direction(
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    rule: watch::Receiver<LinkRule>,
    bytes: &AtomicU64,
    flow_of: impl Fn(&LinkRule) -> LinkFlow + Copy,
) {
    let (sender, receiver) = mpsc::channel(QUEUED_CHUNKS_MAX);
    let writing = write_chunks(writer, receiver, rule.clone(), bytes);
    let mut reset = rule.clone();
    let reading = async move {
        tokio::select! {
            _ = read_chunks(reader, sender, rule, flow_of) => {}
            _ = reset.wait_for(|rule| rule.is_reset) => {}
        }
    };
    tokio::join!(reading, writing);
}

async fn read_chunks(
    mut reader: OwnedReadHalf,
    pieces: mpsc::Sender<(Instant, Vec<u8>)>,
    mut rule: watch::Receiver<LinkRule>,
    flow_of: impl Fn(&LinkRule) -> LinkFlow,
) -> io::Result<()> {
    let mut piece = vec![0; CHUNK_BYTES];
    loop {
        let length = reader.read(&mut piece).await?;
        // The rule's sender lives as long as the connection.
        let _ = rule.wait_for(|rule| flow_of(rule) != LinkFlow::Hold).await;
        if flow_of(&rule.borrow()) == LinkFlow::Cut {
            if length > 0 {
                discard_bytes(&mut reader).await?;
            }
            // The end of the stream is dropped as well.
            let _ = rule.wait_for(|rule| rule.is_reset).await;
            return Ok(());
        }
        if length == 0 {
            return Ok(());
        }
        let due = Instant::now() + Duration::from_millis(rule.borrow().delay_ms);
        if pieces.send((due, piece[..length].to_vec())).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut writer: OwnedWriteHalf,
    mut pieces: mpsc::Receiver<(Instant, Vec<u8>)>,
    mut rule: watch::Receiver<LinkRule>,
    bytes: &AtomicU64,
) {
    let moving = async {
        while let Some((due, piece)) = pieces.recv().await {
            tokio::time::sleep_until(due).await;
            writer.write_all(&piece).await?;
            bytes.fetch_add(piece.len() as u64, Ordering::Relaxed);
        }
        writer.shutdown().await
    };
    let was_reset = tokio::select! {
        biased;
        _ = rule.wait_for(|rule| rule.is_reset) => true,
        _ = moving => false,
    };
    if was_reset {
        // If the option cannot be set, the connection closes with a FIN.
        let _ = writer.as_ref().set_zero_linger();
    }
}
