//! A caller's body, checked and turned into a request.

use super::{BYTES_PER_TOKEN, DEFAULT_MAX_TOKENS, invalid};
use serde_json::{Map, Value, json};
use topazmount_routing::block_hashes;
use topazmount_settings::{Declarations, Tenant};
use topazmount_types::{ChatRequest, Digest, Endpoint, ErrorKind, Priority, Refusal};

/// Checks a caller's body and turns it into a request.
pub(super) fn parse(
    declarations: &Declarations,
    tenant: &Tenant,
    body: &str,
    endpoint: Endpoint,
) -> Result<(ChatRequest, bool), Refusal> {
    let value: Value = serde_json::from_str(body)
        .map_err(|error| invalid(format!("the body is not JSON: {error}")))?;
    let Value::Object(mut fields) = value else {
        return Err(invalid("the body must be a JSON object"));
    };
    let name = match fields.get("model") {
        Some(Value::String(name)) => name.clone(),
        Some(_) => return Err(invalid("model must be a string")),
        None => return Err(invalid("model is missing")),
    };
    let model = declarations
        .model(&name)
        .ok_or_else(|| Refusal::new(ErrorKind::NotFound, "there is no such model"))?;
    let prompt = prompt_text(&fields, endpoint)?;
    let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u32;
    let limits = &declarations.limits;
    if prompt_tokens > limits.max_prompt_tokens {
        let message = format!("the prompt exceeds {} tokens", limits.max_prompt_tokens);
        return Err(Refusal::new(ErrorKind::TooLarge, message));
    }
    let max_tokens = max_tokens(&fields, limits.max_completion_tokens)?;
    let stream = boolean(&fields, "stream")?;
    let include_usage = include_usage(&fields)?;
    let priority = priority(&fields)?.unwrap_or(tenant.priority);
    let session = session(&fields)?;
    let block_bytes = declarations.block_tokens as usize * BYTES_PER_TOKEN;
    let blocks = block_hashes(tenant.id, model.id, model.weights, prompt.as_bytes(), block_bytes);
    prepare_for_engine(&mut fields, tenant, priority, max_tokens, model.weights.0);
    let request = ChatRequest {
        endpoint,
        tenant: tenant.id,
        model: model.id,
        weights: model.weights,
        priority,
        stream,
        prompt_tokens,
        max_tokens,
        blocks: blocks.into(),
        session,
        body: Value::Object(fields).to_string().into(),
        deadline: limits.request_deadline,
    };
    Ok((request, include_usage))
}

/// The prompt as one text: what engines with equal text may share.
pub fn prompt_text(fields: &Map<String, Value>, endpoint: Endpoint) -> Result<String, Refusal> {
    if endpoint == Endpoint::Text {
        return match fields.get("prompt") {
            Some(Value::String(prompt)) if !prompt.is_empty() => Ok(prompt.clone()),
            Some(_) => Err(invalid("prompt must be a non-empty string")),
            None => Err(invalid("prompt is missing")),
        };
    }
    let messages = match fields.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        Some(_) => return Err(invalid("messages must be a non-empty list")),
        None => return Err(invalid("messages is missing")),
    };
    let mut prompt = String::new();
    for (position, message) in messages.iter().enumerate() {
        let wrong = |what: &str| invalid(format!("messages[{position}].{what}"));
        let role = message.get("role").and_then(Value::as_str);
        let role = role.ok_or_else(|| wrong("role must be a string"))?;
        prompt.push_str(role);
        prompt.push('\n');
        match message.get("content") {
            Some(Value::String(content)) => prompt.push_str(content),
            Some(Value::Null) | None => {}
            // Parts of other kinds count by their text form.
            Some(Value::Array(parts)) => {
                parts.iter().for_each(|part| prompt.push_str(&part_text(part)))
            }
            Some(_) => return Err(wrong("content must be a string or a list of parts")),
        }
        prompt.push('\n');
    }
    Ok(prompt)
}

fn part_text(part: &Value) -> String {
    let text = part.get("text").and_then(Value::as_str);
    text.map_or_else(|| part.to_string(), str::to_owned)
}

fn max_tokens(fields: &Map<String, Value>, most: u32) -> Result<u32, Refusal> {
    let given = ["max_completion_tokens", "max_tokens"]
        .iter()
        .find_map(|name| fields.get(*name).filter(|value| !value.is_null()).map(|v| (name, v)));
    let Some((name, value)) = given else {
        return Ok(DEFAULT_MAX_TOKENS.min(most));
    };
    let number = value.as_u64().filter(|number| (1..=u64::from(most)).contains(number));
    number
        .map(|number| number as u32)
        .ok_or_else(|| invalid(format!("{name} must be a whole number from 1 to {most}")))
}

fn boolean(fields: &Map<String, Value>, name: &str) -> Result<bool, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(invalid(format!("{name} must be true or false"))),
    }
}

fn include_usage(fields: &Map<String, Value>) -> Result<bool, Refusal> {
    match fields.get("stream_options") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Object(options)) => boolean(options, "include_usage"),
        Some(_) => Err(invalid("stream_options must be an object")),
    }
}

fn priority(fields: &Map<String, Value>) -> Result<Option<Priority>, Refusal> {
    let value = match fields.get("priority") {
        None | Some(Value::Null) => return Ok(None),
        Some(value) => value,
    };
    let found = Priority::ALL.into_iter().find(|priority| value == priority.as_str());
    let message = "priority must be \"interactive\", \"normal\" or \"batch\"";
    found.map(Some).ok_or_else(|| invalid(message))
}

/// Conversations are named by `prompt_cache_key`, or else by `user`.
fn session(fields: &Map<String, Value>) -> Result<u64, Refusal> {
    for name in ["prompt_cache_key", "user"] {
        match fields.get(name) {
            None | Some(Value::Null) => {}
            Some(Value::String(text)) => return Ok(Digest::of(text.as_bytes()).prefix() | 1),
            Some(_) => return Err(invalid(format!("{name} must be a string"))),
        }
    }
    Ok(0)
}

/// Sets the fields that engines get from the node and not from callers.
fn prepare_for_engine(
    fields: &mut Map<String, Value>,
    tenant: &Tenant,
    priority: Priority,
    max_tokens: u32,
    weights: u32,
) {
    fields.remove("resume");
    fields.remove("max_completion_tokens");
    fields.insert("stream".to_owned(), json!(true));
    let options = json!({ "include_usage": true, "continuous_usage_stats": true });
    fields.insert("stream_options".to_owned(), options);
    fields.insert("max_tokens".to_owned(), json!(max_tokens));
    fields.insert("priority".to_owned(), json!(priority as u32));
    fields.insert("cache_salt".to_owned(), json!(tenant.id.to_string()));
    fields.insert("weights_version".to_owned(), json!(weights));
}
