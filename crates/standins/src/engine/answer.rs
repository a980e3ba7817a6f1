//! An engine's answers: OpenAI's chat format, streamed or whole.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode, Version};
use serde::Deserialize;
use serde_json::json;
use stairhinge::serving::Fence;
use stairhinge_shell::http::{Body, BodyError, answer, headers, stream};
use tokio::sync::mpsc;

use super::Record;
use super::state::{Engine, Held, lock};

#[derive(Deserialize)]
struct Chat {
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    #[serde(default)]
    messages: Vec<Message>,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

/// The tokens of an answer whose caller names no number.
const USUAL_TOKENS: u32 = 16;

/// One answer in the making.
struct Job {
    engine: Arc<Engine>,
    number: u64,
    prompt: String,
    tokens: u32,
    held: Held,
    epoch: u64,
    rx: mpsc::Receiver<u32>,
}

impl Engine {
    pub(super) fn chat(
        self: Arc<Engine>,
        parts: &Parts,
        fence: Option<Fence>,
        body: &Bytes,
    ) -> Response<Body> {
        let Ok(chat) = serde_json::from_slice::<Chat>(body) else {
            return answer(StatusCode::BAD_REQUEST, "{}".into());
        };
        let text = |name| {
            let value = parts.headers.get(name);
            value.and_then(|v| v.to_str().ok()).unwrap_or_default()
        };
        let held = lock(&self.held).clone();
        let bound = text(headers::ENGINE_VERSION) == held.version
            && fence == Some(held.loaded);
        if held.whole.is_none() || (self.settings.fences && !bound) {
            return answer(StatusCode::CONFLICT, "{}".into());
        }
        if self.batch.load().1 >= self.settings.queue {
            return answer(StatusCode::TOO_MANY_REQUESTS, "{}".into());
        }
        let record = Record {
            request: text(headers::ENGINE_REQUEST).to_string(),
            key: text(headers::KEY).to_string(),
            prompt: chat.messages.iter().map(|m| m.content.as_str()).collect(),
            version: held.version.clone(),
            whole: false,
        };
        let prompt = record.prompt.clone();
        let number = {
            let mut records = lock(&self.records);
            let number = records.len() as u64;
            records.insert(number, record);
            number
        };
        let priority = text(headers::ENGINE_PRIORITY).parse().unwrap_or(5);
        let tokens = chat.max_tokens.unwrap_or(USUAL_TOKENS).max(1);
        let rx = self.batch.add(priority, tokens);
        let engine = Arc::clone(&self);
        let epoch = self.epoch.load(Ordering::SeqCst);
        let job = Job { engine, number, prompt, tokens, held, epoch, rx };
        job.go(chat.stream)
    }
}

impl Job {
    fn go(self, streamed: bool) -> Response<Body> {
        let (tx, rx) = mpsc::channel(4);
        let mut response = Response::new(stream(rx));
        let kind =
            if streamed { "text/event-stream" } else { "application/json" };
        if self.engine.unframed.load(Ordering::Relaxed) {
            // HTTP/1.0 has no chunks.
            *response.version_mut() = Version::HTTP_10;
        }
        let map = response.headers_mut();
        map.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        for (name, text) in [
            (headers::ENGINE_VERSION, self.held.version.clone()),
            (headers::FENCE, self.held.loaded.to_string()),
        ] {
            if let Ok(value) = HeaderValue::from_str(&text) {
                map.insert(name, value);
            }
        }
        tokio::spawn(async move {
            if self.engine.endless.load(Ordering::Relaxed) {
                self.go_on(tx).await;
            } else if streamed {
                self.stream(tx).await;
            } else {
                self.whole(tx).await;
            }
        });
        response
    }

    /// Each token says what it was made from, so that a mix would show.
    fn token(&self, i: u32) -> String {
        let whole = self.held.whole.map_or(String::new(), |d| d.to_string());
        format!("{}/{}/{i} ", self.held.version, &whole[..whole.len().min(8)])
    }

    fn ended(&self) {
        if let Some(r) = lock(&self.engine.records).get_mut(&self.number) {
            r.whole = true;
        }
    }

    fn breaks(&self, i: u32) -> bool {
        let after = self.engine.break_after.load(Ordering::Relaxed);
        let replaced = self.engine.epoch.load(Ordering::SeqCst) != self.epoch;
        replaced || (after > 0 && i >= after)
    }

    async fn go_on(self, tx: mpsc::Sender<Result<Bytes, BodyError>>) {
        let event = Bytes::from("data: {}\n\n".repeat(1_000));
        while tx.send(Ok(event.clone())).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    async fn stream(mut self, tx: mpsc::Sender<Result<Bytes, BodyError>>) {
        let mut sent = 0;
        loop {
            let next = tokio::select! {
                next = self.rx.recv() => next,
                () = tx.closed() => return,
            };
            let Some(i) = next else { break };
            self.engine.life.run(&self.prompt).await;
            if self.breaks(i) {
                let _ = tx.send(Err(BodyError("told to".into()))).await;
                return;
            }
            let content = self.token(i);
            let json = json!({"choices": [{"delta": {"content": content}}]});
            let line = Bytes::from(format!("data: {json}\n\n"));
            if tx.send(Ok(line)).await.is_err() {
                return;
            }
            sent += 1;
        }
        if sent < self.tokens {
            return;
        }
        let done = Bytes::from_static(b"data: [DONE]\n\n");
        if tx.send(Ok(done)).await.is_ok() {
            self.ended();
        }
    }

    async fn whole(mut self, tx: mpsc::Sender<Result<Bytes, BodyError>>) {
        let mut content = String::new();
        loop {
            let next = tokio::select! {
                next = self.rx.recv() => next,
                () = tx.closed() => return,
            };
            let Some(i) = next else { break };
            self.engine.life.run(&self.prompt).await;
            if self.breaks(i) {
                let _ = tx.send(Err(BodyError("told to".into()))).await;
                return;
            }
            content.push_str(&self.token(i));
        }
        let json = json!({
            "choices": [{"message": {"role": "assistant", "content": content}}],
            "usage": {"completion_tokens": self.tokens},
        });
        if tx.send(Ok(Bytes::from(json.to_string()))).await.is_ok() {
            self.ended();
        }
    }
}
