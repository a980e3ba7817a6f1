//! Conversions between the generated schema types and the domain types.

use std::sync::Arc;
use std::time::Duration;

use stairhinge::document::{Delta, Document, Kind, Seen};
use stairhinge::poison::{
    ClaimStage, CrashReport, Fingerprint, PoisonRecord, RunClaim, Suspicion,
};
use stairhinge::{Code, Digest, Ran};
use stairhinge_schema::fleet_capnp as schema;

use super::{News, PoisonUpdate, Pulled, Report};

type Read<T> = Result<T, capnp::Error>;

pub(super) fn text(reader: Read<capnp::text::Reader<'_>>) -> Read<Arc<str>> {
    Ok(Arc::from(reader?.to_str()?))
}

pub(super) fn put_report(
    report: &Report,
    mut to: schema::report::Builder<'_>,
) {
    to.set_name(&*report.name);
    to.set_hall(&*report.hall);
    to.set_incarnation(report.incarnation);
    to.set_clock(report.clock);
    if let Some(addr) = report.control {
        to.set_control(addr.to_string());
    }
    put_seen(report.config, to.reborrow().init_config());
    put_seen(report.listing, to.reborrow().init_listing());
    to.set_contact_ms(millis(report.contact));
    to.set_state(&*report.state);
    to.set_model(&*report.model);
    to.set_version(&*report.version);
    to.set_load(report.load);
    to.set_share(report.share);
    to.set_rate(report.rate);
    to.set_stuck(report.stuck.map_or(0, Code::number));
    to.set_poison(report.poison);
}

pub(super) fn get_report(from: schema::report::Reader<'_>) -> Read<Report> {
    Ok(Report {
        name: text(from.get_name())?,
        hall: text(from.get_hall())?,
        incarnation: from.get_incarnation(),
        clock: from.get_clock(),
        control: text(from.get_control())?.parse().ok(),
        config: get_seen(from.get_config()?)?,
        listing: get_seen(from.get_listing()?)?,
        contact: Duration::from_millis(from.get_contact_ms()),
        state: text(from.get_state())?,
        model: text(from.get_model())?,
        version: text(from.get_version())?,
        load: from.get_load(),
        share: from.get_share(),
        rate: from.get_rate(),
        stuck: Code::from_number(from.get_stuck()),
        poison: from.get_poison(),
    })
}

pub(super) fn put_seen(seen: Seen, mut to: schema::seen::Builder<'_>) {
    to.set_revision(seen.revision());
    if seen.revision() > 0 {
        to.set_digest(seen.digest().as_bytes());
    }
}

pub(super) fn get_seen(from: schema::seen::Reader<'_>) -> Read<Seen> {
    if from.get_revision() == 0 {
        return Ok(Seen::nothing());
    }
    let digest = Digest::from_slice(from.get_digest()?)
        .map_err(|e| capnp::Error::failed(e.to_string()))?;
    Ok(Seen::new(from.get_revision(), digest))
}

pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

pub(super) fn to_kind(kind: Kind) -> schema::Kind {
    match kind {
        Kind::Config => schema::Kind::Config,
        Kind::Listing => schema::Kind::Listing,
    }
}

pub(super) fn from_kind(kind: schema::Kind) -> Kind {
    match kind {
        schema::Kind::Config => Kind::Config,
        schema::Kind::Listing => Kind::Listing,
    }
}

pub(super) fn to_ran(ran: Ran) -> schema::Ran {
    match ran {
        Ran::DidNotRun => schema::Ran::DidNotRun,
        Ran::MayHaveRun => schema::Ran::MayHaveRun,
        Ran::Ran => schema::Ran::Ran,
    }
}

pub(super) fn from_ran(ran: schema::Ran) -> Ran {
    match ran {
        schema::Ran::DidNotRun => Ran::DidNotRun,
        schema::Ran::MayHaveRun => Ran::MayHaveRun,
        schema::Ran::Ran => Ran::Ran,
    }
}

pub(super) fn put_pulled(
    pulled: &Pulled,
    mut to: schema::document::Builder<'_>,
) {
    let (seen, head, tail, bytes) = match pulled {
        Pulled::Whole(document) => {
            (document.seen(), 0, 0, &document.bytes()[..])
        }
        Pulled::Delta(delta) => {
            let (head, tail, middle) = delta.parts();
            (delta.to(), head as u32, tail as u32, middle)
        }
    };
    put_seen(seen, to.reborrow().init_to());
    to.set_head(head);
    to.set_tail(tail);
    to.set_bytes(bytes);
}

pub(super) fn get_pulled(from: schema::document::Reader<'_>) -> Read<Pulled> {
    let to = get_seen(from.get_to()?)?;
    let (head, tail) = (from.get_head() as usize, from.get_tail() as usize);
    let bytes = from.get_bytes()?;
    if head == 0 && tail == 0 {
        return Ok(Pulled::Whole(Document::new(to.revision(), bytes)));
    }
    Ok(Pulled::Delta(Delta::from_parts(to, head, tail, bytes.to_vec())))
}

pub(super) fn put_news(news: &News, mut to: schema::news::Builder<'_>) {
    put_seen(news.config, to.reborrow().init_config());
    put_seen(news.listing, to.reborrow().init_listing());
    if let Some(addr) = news.control {
        to.set_control(addr.to_string());
    }
}

pub(super) fn get_news(from: schema::news::Reader<'_>) -> Read<News> {
    Ok(News {
        config: get_seen(from.get_config()?)?,
        listing: get_seen(from.get_listing()?)?,
        control: text(from.get_control())?.parse().ok(),
    })
}

pub(super) fn put_poison(
    update: &PoisonUpdate,
    mut to: schema::poison::Builder<'_>,
) {
    to.set_digest(update.digest);
    if let Some(about) = update.about {
        to.set_about(about.to_string());
    }
    let mut list = to.reborrow().init_records(update.records.len() as u32);
    for (i, record) in update.records.iter().enumerate() {
        put_poison_record(record, list.reborrow().get(i as u32));
    }
    let crashes = update.crashes.len() as u32;
    let mut list = to.reborrow().init_crashes(crashes);
    for (i, report) in update.crashes.iter().enumerate() {
        put_crash(report, list.reborrow().get(i as u32));
    }
    let mut list = to.init_claims(update.claims.len() as u32);
    for (i, claim) in update.claims.iter().enumerate() {
        put_claim(claim, list.reborrow().get(i as u32));
    }
}

fn put_claim(claim: &RunClaim, mut to: schema::run_claim::Builder<'_>) {
    to.set_number(claim.number);
    to.set_stage(match claim.stage {
        ClaimStage::Asked => schema::ClaimStage::Asked,
        ClaimStage::Running => schema::ClaimStage::Running,
        ClaimStage::Over => schema::ClaimStage::Over,
    });
    let features = claim.features.len() as u32;
    put_fingerprints(&claim.features, to.init_features(features));
}

fn get_claim(from: schema::run_claim::Reader<'_>) -> Read<RunClaim> {
    Ok(RunClaim {
        features: get_fingerprints(from.get_features()?)?,
        number: from.get_number(),
        stage: match from.get_stage()? {
            schema::ClaimStage::Asked => ClaimStage::Asked,
            schema::ClaimStage::Running => ClaimStage::Running,
            schema::ClaimStage::Over => ClaimStage::Over,
        },
    })
}

fn put_crash(report: &CrashReport, mut to: schema::crash::Builder<'_>) {
    to.set_replica(&*report.replica);
    to.set_age_ms(report.age_ms);
    to.set_service(&*report.service);
    let answers = report.answers.len() as u32;
    let mut answers = to.reborrow().init_answers(answers);
    for (i, (entry, count)) in report.answers.iter().enumerate() {
        let mut to = answers.reborrow().get(i as u32);
        to.set_entry(*entry);
        to.set_count(*count);
    }
    to.set_in_turn(report.in_turn);
    let accused = report.accused.len() as u32;
    put_fingerprints(&report.accused, to.reborrow().init_accused(accused));
    let cleared = report.cleared.len() as u32;
    put_fingerprints(&report.cleared, to.init_cleared(cleared));
}

fn put_fingerprints(
    fingerprints: &[Fingerprint],
    mut to: capnp::text_list::Builder<'_>,
) {
    for (i, fingerprint) in fingerprints.iter().enumerate() {
        to.set(i as u32, fingerprint.to_string());
    }
}

fn get_crash(from: schema::crash::Reader<'_>) -> Read<CrashReport> {
    let mut answers = Vec::new();
    for seen in from.get_answers()? {
        answers.push((seen.get_entry(), seen.get_count()));
    }
    Ok(CrashReport {
        replica: text(from.get_replica())?,
        age_ms: from.get_age_ms(),
        service: text(from.get_service())?,
        answers,
        in_turn: from.get_in_turn(),
        accused: get_fingerprints(from.get_accused()?)?,
        cleared: get_fingerprints(from.get_cleared()?)?,
    })
}

fn get_fingerprints(
    from: capnp::text_list::Reader<'_>,
) -> Read<Vec<Fingerprint>> {
    let failed = |e: stairhinge::Error| capnp::Error::failed(e.to_string());
    let mut fingerprints = Vec::new();
    for name in from {
        fingerprints.push(text(name)?.parse().map_err(failed)?);
    }
    Ok(fingerprints)
}

fn put_poison_record(
    record: &PoisonRecord,
    mut to: schema::poison_record::Builder<'_>,
) {
    to.set_request(record.request.to_string());
    to.set_cleared(record.suspicion.cleared);
    to.set_ended(record.suspicion.ended);
    to.set_trials(record.suspicion.trials);
    to.set_age_ms(record.age_ms);
    let mut replicas = to.init_replicas(record.replicas.len() as u32);
    for (i, replica) in record.replicas.iter().enumerate() {
        replicas.set(i as u32, &**replica);
    }
}

pub(super) fn get_poison(
    from: schema::poison::Reader<'_>,
) -> Read<PoisonUpdate> {
    let mut records = Vec::new();
    for record in from.get_records()? {
        records.push(get_poison_record(record)?);
    }
    let about = text(from.get_about())?.parse().ok();
    let mut crashes = Vec::new();
    for report in from.get_crashes()? {
        crashes.push(get_crash(report)?);
    }
    let mut claims = Vec::new();
    for claim in from.get_claims()? {
        claims.push(get_claim(claim)?);
    }
    let digest = from.get_digest();
    Ok(PoisonUpdate { digest, records, about, crashes, claims })
}

fn get_poison_record(
    from: schema::poison_record::Reader<'_>,
) -> Read<PoisonRecord> {
    let request = text(from.get_request())?.parse();
    let failed = |e: stairhinge::Error| capnp::Error::failed(e.to_string());
    let mut replicas = Vec::new();
    for replica in from.get_replicas()? {
        replicas.push(text(replica)?);
    }
    Ok(PoisonRecord {
        request: request.map_err(failed)?,
        suspicion: Suspicion {
            cleared: from.get_cleared(),
            ended: from.get_ended(),
            trials: from.get_trials(),
        },
        age_ms: from.get_age_ms(),
        replicas,
    })
}
