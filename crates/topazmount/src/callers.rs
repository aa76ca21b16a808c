//! Connections of callers.

use crate::api;
use crate::http_guard::GuardedStream;
use crate::node_process::NodeProcess;
use async_h1::server::{ConnectionStatus, Server};
use async_net::{TcpListener, TcpStream};
use futures_lite::AsyncWriteExt;
use http_types::{Request, Response};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use topazmount_types::{ErrorKind, Refusal};

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time that a refused caller has to read why, before the connection is closed.
const LINGER: Duration = Duration::from_millis(200);

/// Accepts connections for as long as the process runs.
pub async fn accept_loop(process: Arc<NodeProcess>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve(process.clone(), stream);
                process.executor.spawn(serving).detach();
            }
            Err(error) => {
                log::warn!("http: accepting failed: {error}.");
                async_io::Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(process: Arc<NodeProcess>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Some(_connection) = process.open_connection() else {
        let refusal = Refusal::new(ErrorKind::Overloaded, "too many connections are open");
        answer_raw(stream, &refusal).await;
        return;
    };
    let receive_timeout = process.declarations().limits.receive_timeout;
    let guard = GuardedStream::new(stream, receive_timeout);
    let is_answering = Arc::new(AtomicBool::new(false));
    let endpoint = |request: Request| {
        let process = process.clone();
        let guard = guard.clone();
        is_answering.store(true, Ordering::Release);
        process.begin_answer();
        async move { http_types::Result::Ok(answer(process, guard, request).await) }
    };
    // The library closes a connection that stays without a request for 60 s.
    let mut server = Server::new(guard.clone(), endpoint);
    loop {
        let status = server.accept_one().await;
        if is_answering.swap(false, Ordering::AcqRel) {
            process.end_answer();
        }
        match status {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) => return,
            Err(_) => break,
        }
    }
    let violation = guard.violation();
    let (kind, reason) = violation.unwrap_or((ErrorKind::InvalidRequest, "malformed request"));
    log::debug!("http: connection refused: {reason}.");
    answer_raw(guard.socket().clone(), &Refusal::new(kind, reason)).await;
}

async fn answer(process: Arc<NodeProcess>, guard: GuardedStream, request: Request) -> Response {
    let mut response = api::answer(&process, &guard, request).await;
    if process.is_draining() || !guard.may_continue() {
        response.insert_header("connection", "close");
    }
    response
}

/// Answers without the HTTP library, which has given up on the connection.
async fn answer_raw(mut stream: TcpStream, refusal: &Refusal) {
    let body = api::error_body(refusal);
    let status = refusal.kind.status();
    let head = format!(
        "HTTP/1.1 {status} {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n",
        refusal.kind.name(),
        body.len()
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(body.as_bytes()).await;
    let _ = stream.flush().await;
    let _ = stream.shutdown(std::net::Shutdown::Write);
    // Closing with unread input would reset the connection before the caller reads the answer.
    let mut rest = [0u8; 4096];
    let _ = crate::frames::within(LINGER, async {
        while futures_lite::AsyncReadExt::read(&mut stream, &mut rest).await? > 0 {}
        Ok(())
    })
    .await;
}
