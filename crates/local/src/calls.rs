//! Calls as a caller makes them, and what became of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request};
use serde_json::{Value, json};
use stairhinge::Ran;
use stairhinge_shell::http::{Body, Client, full, headers};
use stairhinge_standins::Record;

/// How one request is to be made.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Text that the request is recognised by.
    pub prompt: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Tokens of the answer.
    pub tokens: u32,
    /// The caller's key.
    pub key: Option<String>,
    /// Whether it may be repeated, if it says so.
    pub repeatable: Option<bool>,
    /// The workspace, if it names one.
    pub workspace: Option<String>,
    /// The deadline, if it names one.
    pub deadline: Option<Duration>,
    /// The parts of the prompt that other requests may share.
    pub parts: Vec<String>,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status; 0 if there was no answer at all.
    pub status: u16,
    /// The numbered code; 0 if there is none.
    pub code: u16,
    /// What was said of the request having run.
    pub ran: Option<Ran>,
    /// The text of the answer.
    pub content: String,
    /// Whether the answer came to its proper end.
    pub whole: bool,
    /// When the first bytes came.
    pub first: Duration,
    /// When the last bytes came.
    pub last: Duration,
    /// The spans between streamed pieces.
    pub gaps: Vec<Duration>,
    /// When to come back.
    pub back: Option<u64>,
}

impl Caller {
    /// Returns a plain request that a text is recognised by.
    pub fn new(prompt: impl Into<String>) -> Caller {
        Caller {
            prompt: prompt.into(),
            stream: true,
            tokens: 8,
            key: None,
            repeatable: None,
            workspace: None,
            deadline: None,
            parts: Vec::new(),
        }
    }

    /// Returns it with parts that other requests may share. The prompt begins
    /// with them, a word each.
    #[must_use]
    pub fn with_parts(mut self, parts: &[&str]) -> Caller {
        self.parts = parts.iter().map(ToString::to_string).collect();
        self.prompt = format!("{} {}", parts.join(" "), self.prompt);
        self
    }

    /// Returns it as one that must not be repeated, with a key if given.
    #[must_use]
    pub fn once(mut self, key: Option<&str>) -> Caller {
        self.repeatable = Some(false);
        self.key = key.map(Into::into);
        self
    }

    /// Returns it with a number of tokens.
    #[must_use]
    pub fn with_tokens(mut self, tokens: u32) -> Caller {
        self.tokens = tokens;
        self
    }

    /// Returns it for an answer in one piece.
    #[must_use]
    pub fn whole(mut self) -> Caller {
        self.stream = false;
        self
    }

    fn build(&self, model: &str) -> Option<Request<Body>> {
        let json = json!({
            "model": model,
            "stream": self.stream,
            "max_tokens": self.tokens,
            "messages": [{"role": "user", "content": self.prompt}],
        });
        let mut request = Request::post("/v1/chat/completions")
            .header("content-type", "application/json");
        if let Some(key) = &self.key {
            request = request.header(headers::KEY, key);
        }
        if let Some(flag) = self.repeatable {
            request = request.header(headers::REPEATABLE, flag.to_string());
        }
        if let Some(name) = &self.workspace {
            request = request.header(headers::WORKSPACE, name);
        }
        if let Some(span) = self.deadline {
            let ms = span.as_millis().to_string();
            request = request.header(headers::DEADLINE, ms);
        }
        if !self.parts.is_empty() {
            let parts = self.parts.join(",");
            request = request.header(headers::PROMPT_PARTS, parts);
        }
        request.body(full(json.to_string())).ok()
    }

    /// Makes the request to a model through an entry, and reads what comes.
    pub async fn chat(
        &self,
        client: &Client,
        addr: SocketAddr,
        model: &str,
    ) -> Answer {
        let Some(request) = self.build(model) else { return Answer::none() };
        send(client, addr, request).await
    }

    /// Posts the prompt to a plain service through an entry.
    pub async fn service(
        &self,
        client: &Client,
        addr: SocketAddr,
        service: &str,
    ) -> Answer {
        let mut request = Request::post(format!("/services/{service}/do"));
        if let Some(key) = &self.key {
            request = request.header(headers::KEY, key);
        }
        let body = full(self.prompt.clone());
        let Ok(request) = request.body(body) else { return Answer::none() };
        send(client, addr, request).await
    }
}

/// The longest that any call is waited for.
const LONGEST: Duration = Duration::from_secs(90);

async fn send(
    client: &Client,
    addr: SocketAddr,
    request: Request<Body>,
) -> Answer {
    let start = Instant::now();
    let mut answer = Answer::none();
    let sent = client.send(addr, request, LONGEST).await;
    let Ok(response) = sent else { return answer };
    let (head, body) = response.into_parts();
    answer.status = head.status.as_u16();
    let map = &head.headers;
    answer.code = number(map, headers::CODE).unwrap_or_default() as u16;
    answer.back = number(map, "retry-after");
    let ran = map.get(headers::RAN).and_then(|v| v.to_str().ok());
    answer.ran = ran.and_then(Ran::parse);
    let kind = map.get("content-type").and_then(|v| v.to_str().ok());
    let streamed = kind.is_some_and(|k| k.starts_with("text/event-stream"));
    let text = answer.read(body, start).await;
    if streamed {
        answer.events(&text);
    } else {
        answer.json(&text);
    }
    answer
}

fn number(map: &HeaderMap, name: &str) -> Option<u64> {
    map.get(name)?.to_str().ok()?.parse().ok()
}

impl Answer {
    fn none() -> Answer {
        Answer {
            status: 0,
            code: 0,
            ran: None,
            content: String::new(),
            whole: false,
            first: Duration::ZERO,
            last: Duration::ZERO,
            gaps: Vec::new(),
            back: None,
        }
    }

    async fn read(&mut self, mut body: Incoming, start: Instant) -> String {
        let mut bytes = Vec::new();
        let mut before: Option<Duration> = None;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return String::from_utf8_lossy(&bytes).into_owned();
            };
            let Ok(data) = frame.into_data() else { continue };
            let at = start.elapsed();
            match before {
                None => self.first = at,
                Some(before) => self.gaps.push(at.saturating_sub(before)),
            }
            before = Some(at);
            self.last = at;
            bytes.extend_from_slice(&data);
        }
        self.whole = true;
        String::from_utf8_lossy(&bytes).into_owned()
    }

    fn events(&mut self, text: &str) {
        let mut done = false;
        for line in text.lines() {
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                done = true;
                continue;
            }
            let Ok(json) = serde_json::from_str::<Value>(data) else {
                continue;
            };
            if let Some(code) = json["error"]["code"].as_u64() {
                self.code = code as u16;
                let ran = json["error"]["ran"].as_str();
                self.ran = ran.and_then(Ran::parse);
            }
            let piece = json["choices"][0]["delta"]["content"].as_str();
            self.content.push_str(piece.unwrap_or_default());
        }
        self.whole &= done;
    }

    fn json(&mut self, text: &str) {
        let Ok(json) = serde_json::from_str::<Value>(text) else { return };
        let content = json["choices"][0]["message"]["content"].as_str();
        self.content = content.unwrap_or(text).to_string();
    }

    /// Returns whether it is a whole answer and not a failure.
    pub fn good(&self) -> bool {
        self.status == 200 && self.whole && self.code == 0
    }

    /// Returns the version that all tokens come from, if they are all from
    /// one, with the start of its weights' digest.
    pub fn version(&self) -> Option<(String, String)> {
        let mut found: Option<(String, String)> = None;
        for token in self.content.split_whitespace() {
            let mut parts = token.split('/');
            let version = parts.next()?.to_string();
            let digest = parts.next()?.to_string();
            let this = (version, digest);
            if found.as_ref().is_some_and(|f| *f != this) {
                return None;
            }
            found = Some(this);
        }
        found
    }
}

/// What became of many requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Requests made.
    pub requests: u64,
    /// Answered whole.
    pub answered: u64,
    /// Refused or failed with a numbered code.
    pub refused: u64,
    /// Answered from more than one version, or from other weights than
    /// those published under the version's name.
    pub mixed: u64,
    /// Not to be repeated, and run more than once.
    pub doubled: u64,
    /// Neither answered nor refused with a code, or cut without a mark.
    pub lost: u64,
    /// Said not to have run, and run.
    pub lied: u64,
}

/// Judges answers by the engines' and services' own records. `packs` gives
/// the published digest of each version's weights.
pub fn verdict(
    calls: &[(Caller, Answer)],
    records: &[Record],
    packs: &HashMap<String, String>,
) -> Tally {
    let mut ran: HashMap<&str, u64> = HashMap::new();
    for record in records {
        *ran.entry(record.prompt.as_str()).or_default() += 1;
    }
    let mut tally = Tally::default();
    for (caller, answer) in calls {
        tally.requests += 1;
        let times = ran.get(caller.prompt.as_str()).copied();
        let times = times.unwrap_or_default();
        if caller.repeatable == Some(false) && times > 1 {
            tally.doubled += 1;
        }
        if answer.good() {
            tally.answered += 1;
            let version = answer.version();
            let fits = version.is_some_and(|(name, digest)| {
                packs.get(&name).is_some_and(|d| d.starts_with(&digest))
            });
            if !fits {
                tally.mixed += 1;
            }
        } else if answer.code != 0 {
            tally.refused += 1;
        } else {
            tally.lost += 1;
        }
        if answer.ran == Some(Ran::DidNotRun) && times > 0 {
            tally.lied += 1;
        }
    }
    tally
}
