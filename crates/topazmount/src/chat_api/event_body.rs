//! A streamed answer as the HTTP library reads it.

use super::{Frame, caller_gone, usage_value};
use crate::api::refusal_of;
use crate::body::poll_read_buffered;
use crate::http_guard::GuardedStream;
use crate::node_process::{Event, OpenRequest};
use futures_lite::{AsyncBufRead, AsyncRead, FutureExt, Stream};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use topazmount_node::FinishReason;
use topazmount_types::{Endpoint, ErrorKind, Refusal, Usage};

type Watcher = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// A streamed answer as the HTTP library reads it.
pub(super) struct EventBody {
    events: Pin<Box<async_channel::Receiver<Event>>>,
    /// Dropped with the body: the core learns that the caller is gone, unless all was said.
    _open: Box<OpenRequest>,
    watcher: Watcher,
    endpoint: Endpoint,
    include_usage: bool,
    head: String,
    buffer: Vec<u8>,
    read: usize,
    is_done: bool,
}

impl EventBody {
    pub(super) fn new(
        open: OpenRequest,
        guard: GuardedStream,
        frame: &Frame,
        first: Event,
    ) -> Self {
        let mut body = EventBody {
            events: Box::pin(open.events.clone()),
            _open: Box::new(open),
            watcher: Box::pin(caller_gone(guard, None)),
            endpoint: frame.endpoint,
            include_usage: frame.include_usage,
            head: frame.chunk_head(),
            buffer: Vec::new(),
            read: 0,
            is_done: false,
        };
        if frame.endpoint == Endpoint::Chat {
            body.write_choice("\"delta\":{\"role\":\"assistant\",\"content\":\"\"}", "null");
        }
        body.write_event(first);
        body
    }

    fn write_event(&mut self, event: Event) {
        match event {
            Event::Text(text) => self.write_text(&text),
            Event::Finish { reason, usage, .. } => self.write_finish(reason, usage),
            other => {
                let body = crate::api::error_body(&refusal_of(other));
                self.buffer.extend_from_slice(format!("data: {body}\n\n").as_bytes());
                self.is_done = true;
            }
        }
    }

    fn write_text(&mut self, text: &str) {
        let text = serde_json::to_string(text).unwrap_or_default();
        match self.endpoint {
            Endpoint::Chat => {
                self.write_choice(&format!("\"delta\":{{\"content\":{text}}}"), "null");
            }
            Endpoint::Text => self.write_choice(&format!("\"text\":{text}"), "null"),
        }
    }

    fn write_finish(&mut self, reason: FinishReason, usage: Usage) {
        let reason = format!("\"{}\"", reason.as_str());
        match self.endpoint {
            Endpoint::Chat => self.write_choice("\"delta\":{}", &reason),
            Endpoint::Text => self.write_choice("\"text\":\"\"", &reason),
        }
        if self.include_usage {
            let tail = format!(",\"choices\":[],\"usage\":{}}}\n\n", usage_value(usage));
            self.buffer.extend_from_slice(self.head.as_bytes());
            self.buffer.extend_from_slice(tail.as_bytes());
        }
        self.buffer.extend_from_slice(b"data: [DONE]\n\n");
        self.is_done = true;
    }

    fn write_choice(&mut self, content: &str, reason: &str) {
        self.buffer.extend_from_slice(self.head.as_bytes());
        for part in
            [",\"choices\":[{\"index\":0,", content, ",\"finish_reason\":", reason, "}]}\n\n"]
        {
            self.buffer.extend_from_slice(part.as_bytes());
        }
    }
}

impl AsyncBufRead for EventBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.read == this.buffer.len() {
            this.buffer.clear();
            this.read = 0;
            // All that is there goes out in one piece.
            while !this.is_done {
                match this.events.as_mut().poll_next(context) {
                    Poll::Ready(Some(event)) => this.write_event(event),
                    Poll::Ready(None) => {
                        let lost = Refusal::new(ErrorKind::Internal, "the answer was lost");
                        this.write_event(Event::Refuse(lost));
                    }
                    Poll::Pending => break,
                }
            }
            if this.buffer.is_empty() && !this.is_done {
                if this.watcher.poll(context).is_ready() {
                    let gone = io::Error::new(io::ErrorKind::ConnectionReset, "caller is gone");
                    return Poll::Ready(Err(gone));
                }
                return Poll::Pending;
            }
        }
        Poll::Ready(Ok(&this.buffer[this.read..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().read += amount;
    }
}

impl AsyncRead for EventBody {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self.get_mut(), context, output)
    }
}
