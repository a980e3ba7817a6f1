//! The entry of fleets whose replicas refuse a wrong incarnation and a wrong
//! version themselves, so that it may send to them directly.
//!
//! A caller's request is matched to a route ([`forward`]), waits its turn
//! for a replica ([`dispatch`]), which one entry of the hall chooses for all
//! ([`placing`]), is kept from replicas if it ends those that it runs on
//! ([`poison`]), is sent on a kept connection ([`pool`]), and
//! its answer is passed on ([`relay`]). What a process believes of replicas
//! comes from the platform ([`stairhinge_shell::directory`]) and, newer, from
//! the agents beside them ([`feed`]). One entry reads the platform for the
//! others, which ask it ([`hall_reader`]). How a request is spelled on the
//! wire is the business of a [`Dialect`].

mod admit;
mod cache_site;
mod cancel_guard;
mod connect;
mod dialect;
mod dispatch;
mod entry;
mod event_timing;
mod feed;
mod forward;
mod hall_reader;
mod hop_headers;
mod metrics;
mod news;
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

pub use self::dialect::{
    Attempt, CallerRequest, Dialect, PlainDialect, ReplicaNotice,
    ResponseKind, header_text, parse_flag, parse_header, parse_retry_after,
};
pub use self::entry::run;
pub use self::news::fetch_routes;
pub use self::published::{FetchError, fetch_published};
pub use self::report::EngineReport;
pub use self::settings::{EntrySettings, RetryBound};
