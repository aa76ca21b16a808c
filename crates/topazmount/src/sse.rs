//! Server-sent events as OpenAI-style servers use them: `data:` lines, comments, and `[DONE]`.

use serde::Deserialize;
use std::borrow::Cow;

/// One line of an event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line<'a> {
    /// Payload of a `data:` line.
    Data(&'a str),
    /// The end mark.
    Done,
    /// A comment, sent to keep the connection alive.
    Comment,
    /// An empty line or a field without meaning here.
    Other,
}

/// Reads one line without its line end.
pub fn parse_line(line: &str) -> Line<'_> {
    let line = line.strip_suffix('\r').unwrap_or(line);
    if line.starts_with(':') {
        return Line::Comment;
    }
    let Some(data) = line.strip_prefix("data:") else {
        return Line::Other;
    };
    let data = data.strip_prefix(' ').unwrap_or(data);
    if data == "[DONE]" { Line::Done } else { Line::Data(data) }
}

/// A chunk of an engine's streamed answer; fields that are not needed are passed over.
#[derive(Debug, Deserialize)]
pub struct EngineChunk<'a> {
    /// Tokens before this chunk, when the engine numbers them.
    pub position: Option<u32>,
    /// Choices; only the first is used.
    #[serde(borrow, default)]
    pub choices: Vec<EngineChoice<'a>>,
    /// Token counts so far.
    pub usage: Option<EngineUsage>,
}

/// A choice of a chunk.
#[derive(Debug, Deserialize)]
pub struct EngineChoice<'a> {
    /// Text of a chat chunk.
    #[serde(borrow)]
    pub delta: Option<EngineDelta<'a>>,
    /// Text of a plain completion's chunk.
    #[serde(borrow)]
    pub text: Option<Cow<'a, str>>,
    /// Why the answer ended, in the last chunk.
    #[serde(borrow)]
    pub finish_reason: Option<Cow<'a, str>>,
}

/// Text of a chunk.
#[derive(Debug, Deserialize)]
pub struct EngineDelta<'a> {
    /// The text.
    #[serde(borrow)]
    pub content: Option<Cow<'a, str>>,
}

/// Token counts.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct EngineUsage {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Generated tokens.
    #[serde(default)]
    pub completion_tokens: u32,
    /// Details.
    pub prompt_tokens_details: Option<EnginePromptDetails>,
}

/// Details of the prompt's tokens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct EnginePromptDetails {
    /// Prompt tokens found in cache.
    #[serde(default)]
    pub cached_tokens: u32,
}
