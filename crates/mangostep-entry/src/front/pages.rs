//! HTTP endpoints of the host itself: readiness, look-ups and metrics.

use std::net::SocketAddr;

use {
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, HeaderValue, StatusCode, header},
    mangostep_http::{
        MessageLimits, RequestDecoder, RequestHead, ResponseOptions, encode_response,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

use crate::{
    front::{accept_each, lingering::close_lingering},
    prelude::*,
};

/// Maximum time for which a connection may stay without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A response with its media type.
pub(crate) struct PageResponse {
    pub(crate) status: StatusCode,
    pub(crate) media_type: &'static str,
    pub(crate) body: Vec<u8>,
}

impl PageResponse {
    /// A response without a body.
    pub(crate) fn empty(status: StatusCode) -> Self {
        PageResponse {
            status,
            media_type: "text/plain",
            body: Vec::new(),
        }
    }
}

/// Serves the responses of `respond` on an address until the host closes.
pub(crate) fn serve_pages<F>(
    context: &Rc<HostContext>,
    address: SocketAddr,
    respond: F,
) -> Result<(), EntryError>
where
    F: Fn(&HostContext, &RequestHead) -> PageResponse + Clone + 'static,
{
    let shared = Rc::clone(context);
    accept_each(context, address, move |stream| {
        let (context, respond) = (Rc::clone(&shared), respond.clone());
        tokio::task::spawn_local(async move {
            let mut stream = stream;
            // Errors mean that the caller disconnected.
            if serve_page(&context, &mut stream, respond).await.is_ok() {
                close_lingering(&context, stream).await;
            }
        });
    })
}

async fn serve_page(
    context: &HostContext,
    stream: &mut TcpStream,
    respond: impl Fn(&HostContext, &RequestHead) -> PageResponse,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut decoder = RequestDecoder::new(MessageLimits::default());
    let (mut buffer, mut out) = (BytesMut::new(), BytesMut::new());
    loop {
        let request = match decoder.decode(&mut buffer) {
            Ok(Some(request)) => request,
            Ok(None) => {
                let read = timeout(IDLE_TIMEOUT, stream.read_buf(&mut buffer)).await;
                match read {
                    Ok(Ok(length)) if length > 0 => continue,
                    Ok(read) => return read.map(drop),
                    Err(_) => return Ok(()),
                }
            }
            Err(_) => return Ok(()),
        };
        let response = respond(context, &request.head);
        let mut headers = HeaderMap::new();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static(response.media_type),
        );
        let end = ResponseOptions {
            closes: !request.head.keeps_connection(),
            is_head_request: request.head.method == http::Method::HEAD,
        };
        out.clear();
        encode_response(
            response.status,
            &headers,
            &Bytes::from(response.body),
            end,
            &mut out,
        );
        stream.write_all(&out).await?;
        if end.closes {
            return Ok(());
        }
    }
}
