//! Names of HTTP headers, both of the public API and between processes.

/// The idempotency key that the caller gave the request.
pub const KEY: &str = "idempotency-key";
/// Whether the request may be repeated: `true` or `false`.
pub const REPEATABLE: &str = "stairhinge-repeatable";
/// The workspace that the request belongs to.
pub const WORKSPACE: &str = "stairhinge-workspace";
/// Milliseconds from the request's arrival to its deadline.
pub const DEADLINE: &str = "stairhinge-deadline-ms";
/// The numbered code of a failure.
pub const CODE: &str = "stairhinge-code";
/// Whether the request ran: see [`stairhinge::Ran`].
pub const RAN: &str = "stairhinge-ran";
/// The model version that produced the response.
pub const VERSION: &str = "stairhinge-version";
/// The data hall of an entry that subscribes to an agent.
pub const HALL: &str = "stairhinge-hall";
/// The address at which an entry that subscribes to an agent serves the
/// other entries of its data hall.
pub const READER: &str = "stairhinge-reader";
/// Marks the subscription of an entry that needs no immediate updates when
/// only the agent's load changes.
pub const SELDOM: &str = "stairhinge-seldom";
/// The number of the attempt, from entry to agent.
pub const ATTEMPT: &str = "stairhinge-attempt";
/// The incarnation of the agent that an attempt is addressed to.
pub const INCARNATION: &str = "stairhinge-incarnation";
/// The revision of the sender's configuration.
pub const REVISION: &str = "stairhinge-revision";
/// The fingerprint of a request's content, equal for all its attempts, from
/// entry to agent.
pub const FINGERPRINT: &str = "stairhinge-fingerprint";
/// The fingerprints of the parts of a request's prompt that other requests may
/// share, separated by commas, from entry to agent.
pub const PARTS: &str = "stairhinge-parts";
/// The parts of a request's prompt that other requests may share, separated by
/// commas, from caller to entry.
pub const PROMPT_PARTS: &str = "stairhinge-prompt-parts";
/// How strongly a request is suspected of crashing backend servers, from entry
/// to agent.
pub const SUSPICION: &str = "stairhinge-suspicion";
/// The model that a request is for, from entry to agent.
pub const MODEL: &str = "stairhinge-model";
/// The number of requests in progress at an agent, on its responses.
pub const LOAD: &str = "stairhinge-load";
/// The digest of the chunk in a response.
pub const DIGEST: &str = "stairhinge-digest";
/// The index of the chunk in a response among the chunks of its version.
pub const CHUNK: &str = "stairhinge-chunk";
/// Which of the requested chunks the responding agent holds, as a bit field in
/// hexadecimal.
pub const HELD: &str = "stairhinge-held";
/// The fencing token of an order to an engine, and of the engine's response.
pub const FENCE: &str = "engine-fence";
/// The model version that an engine is to use, and in its response the one
/// that it used.
pub const ENGINE_VERSION: &str = "engine-version";
/// The id of a request sent to an engine or plain service.
pub const ENGINE_REQUEST: &str = "engine-request";
/// The priority of a request sent to an engine; 0 is the highest.
pub const ENGINE_PRIORITY: &str = "engine-priority";
