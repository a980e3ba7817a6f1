//! A reverse proxy that sends requests directly to replicas.
//!
//! Sending directly requires that replicas themselves reject requests that
//! are addressed to another incarnation or weight version.
//!
//! [`forward`] matches a caller's request to a route, and [`dispatch`] queues
//! it for a replica, which one entry of the hall chooses for all of them
//! ([`placing`]). [`poison`] quarantines requests that crash the replicas
//! they run on, and [`catch_up`] holds requests back until this entry knows
//! what others know of them. Requests are sent on pooled connections
//! ([`pool`]), and [`relay`] streams their answers; [`buffers`] bounds what is
//! held for slow callers. The state of replicas comes from the
//! platform ([`stairhinge_shell::directory`]) and, more up to date, from the
//! agents on their instances ([`feed`]). One entry reads the platform on
//! behalf of the others ([`hall_reader`]). A [`Dialect`] encodes requests and
//! decodes answers.

mod admit;
mod buffers;
mod cache_site;
mod cancel_guard;
mod catch_up;
mod connect;
mod dialect;
mod dispatch;
mod entry;
mod event_timing;
mod far_budget;
mod feed;
mod forward;
mod hall_reader;
mod health_gossip;
mod hop_headers;
mod metrics;
mod news;
mod news_sender;
mod peer_list;
mod peer_socket;
mod placing;
mod poison;
mod pool;
mod published;
mod ready;
mod relay;
mod report;
mod request_context;
mod settings;
mod silence;
mod start;

pub use self::dialect::{
    Attempt, CallerRequest, Dialect, PlainDialect, ReplicaNotice,
    ResponseKind, header_items, header_text, parse_flag, parse_header,
    parse_retry_after,
};
pub use self::entry::run;
pub use self::news::fetch_routes;
pub use self::published::{FetchError, fetch_published};
pub use self::report::{EngineReport, Provenance};
pub use self::settings::{
    BufferSettings, EntrySettings, HealthSettings, RetryBound,
};
