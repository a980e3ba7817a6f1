//! Serializes the validated declaration to its schema type.

use stairhinge::declaration::{Fleet, Model, Prefer, Version};
use stairhinge_schema::fleet_capnp as schema;

pub(super) fn put_fleet(fleet: &Fleet, mut to: schema::fleet::Builder<'_>) {
    to.set_revision(fleet.revision());
    to.set_name(&**fleet.name());
    to.set_prefer(match fleet.prefer() {
        Prefer::Time => schema::Prefer::Time,
        Prefer::Origin => schema::Prefer::Origin,
    });
    to.set_origin_budget(fleet.origin_budget());
    let count = fleet.models().len() as u32;
    let mut models = to.reborrow().init_models(count);
    for (i, model) in fleet.models().iter().enumerate() {
        put_model(model, models.reborrow().get(i as u32));
    }
    let count = fleet.services().len() as u32;
    let mut services = to.reborrow().init_services(count);
    for (i, service) in fleet.services().iter().enumerate() {
        let mut out = services.reborrow().get(i as u32);
        out.set_name(&**service.name());
        out.set_repeatable(service.repeatable());
    }
    let count = fleet.sites().len() as u32;
    let mut sites = to.reborrow().init_sites(count);
    for (i, site) in fleet.sites().iter().enumerate() {
        let mut out = sites.reborrow().get(i as u32);
        out.set_name(&**site.name());
        out.set_region(&**site.region());
    }
    let count = fleet.workspaces().len() as u32;
    let mut workspaces = to.reborrow().init_workspaces(count);
    for (i, workspace) in fleet.workspaces().iter().enumerate() {
        let mut out = workspaces.reborrow().get(i as u32);
        out.set_name(&**workspace.name());
        out.set_share(workspace.share());
        out.set_priority(workspace.priority());
    }
    let count = fleet.backends().len() as u32;
    let mut backends = to.reborrow().init_backends(count);
    for (i, backend) in fleet.backends().iter().enumerate() {
        let mut out = backends.reborrow().get(i as u32);
        out.set_name(&**backend.name());
        out.set_site(&**backend.site());
        out.set_checks_fences(backend.checks_fences());
        if let Some(service) = backend.service() {
            out.set_service(&**service);
        }
    }
}

fn put_model(model: &Model, mut to: schema::model::Builder<'_>) {
    to.set_name(&**model.name());
    to.set_priority(model.priority());
    to.set_serve(&**model.served_version().name());
    let count = model.versions().len() as u32;
    let mut versions = to.reborrow().init_versions(count);
    for (i, version) in model.versions().iter().enumerate() {
        put_version(version, versions.reborrow().get(i as u32));
    }
    let count = model.adapters().len() as u32;
    let mut adapters = to.reborrow().init_adapters(count);
    for (i, adapter) in model.adapters().iter().enumerate() {
        let mut out = adapters.reborrow().get(i as u32);
        out.set_name(&**adapter.name());
        out.set_manifest(adapter.manifest().to_string());
    }
    let count = model.placements().len() as u32;
    let mut placements = to.init_placements(count);
    for (i, (site, replicas)) in model.placements().iter().enumerate() {
        let mut out = placements.reborrow().get(i as u32);
        out.set_site(&**site);
        out.set_replicas(*replicas);
    }
}

fn put_version(version: &Version, mut to: schema::version::Builder<'_>) {
    to.set_name(&**version.name());
    to.set_manifest(version.manifest().to_string());
}
