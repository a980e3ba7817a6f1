//! Names of headers, towards callers and between processes.

/// A caller's name for one request.
pub const KEY: &str = "idempotency-key";
/// Whether the request may be repeated: `true` or `false`.
pub const REPEATABLE: &str = "stairhinge-repeatable";
/// The workspace whose request it is.
pub const WORKSPACE: &str = "stairhinge-workspace";
/// Milliseconds from the request's arrival to its deadline.
pub const DEADLINE: &str = "stairhinge-deadline-ms";
/// The numbered code of a failure.
pub const CODE: &str = "stairhinge-code";
/// Whether the request ran: see [`stairhinge::Ran`].
pub const RAN: &str = "stairhinge-ran";
/// The version that an answer comes from.
pub const VERSION: &str = "stairhinge-version";
/// The data hall of an entry that listens to an agent.
pub const HALL: &str = "stairhinge-hall";
/// Where an entry that listens to an agent answers others of its hall.
pub const READER: &str = "stairhinge-reader";
/// Says that an entry that listens to an agent need not hear of mere load at
/// once.
pub const SELDOM: &str = "stairhinge-seldom";
/// The attempt, from entry to agent.
pub const ATTEMPT: &str = "stairhinge-attempt";
/// The agent's incarnation that an attempt is meant for.
pub const INCARNATION: &str = "stairhinge-incarnation";
/// The revision of the sender's configuration.
pub const REVISION: &str = "stairhinge-revision";
/// Names what a request asks, the same for all its tries, from entry to
/// agent.
pub const FINGERPRINT: &str = "stairhinge-fingerprint";
/// How far a request is suspected of ending backend servers, from entry to
/// agent.
pub const SUSPICION: &str = "stairhinge-suspicion";
/// The model that a request is for, from entry to agent.
pub const MODEL: &str = "stairhinge-model";
/// The requests in progress at an agent, on its answers.
pub const LOAD: &str = "stairhinge-load";
/// The digest of a chunk that is answered.
pub const DIGEST: &str = "stairhinge-digest";
/// The place of a chunk that is answered among those of its version.
pub const CHUNK: &str = "stairhinge-chunk";
/// What the answering agent holds of the chunks asked for, as a bit field in
/// hexadecimal.
pub const HELD: &str = "stairhinge-held";
/// The fence of an order to an engine, and of an engine's answer.
pub const FENCE: &str = "engine-fence";
/// The version that an engine is to answer from, and did answer from.
pub const ENGINE_VERSION: &str = "engine-version";
/// The name of a request towards an engine or plain service.
pub const ENGINE_REQUEST: &str = "engine-request";
/// The priority of a request towards an engine, 0 first.
pub const ENGINE_PRIORITY: &str = "engine-priority";
