use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use {
    mangostep_objects::ObjectSet,
    mangostep_platform::{
        ConfigurationPublisher, HostRow, PublicationDraft, PublicationOutcome, PublisherSettings,
    },
    pico_args::Arguments,
    sha2::{Digest, Sha256},
};

use crate::{
    check::{counts_by_kind, read_objects},
    command::{CommandError, positional_arguments, run_async},
    fleet_access::{FleetAccess, MemberRows},
};

pub(crate) const USAGE: &str = "\
Publish a set of configuration objects and wait until every host applies it.

Usage: mangostep publish --from VERSION [OPTIONS] PATH...

  --from VERSION         version on which the objects are based; publishing
                         fails if another version is in force
  --author NAME          shown to operators whose publication conflicts
                         ($USER)
  --publication ID       ID of an earlier attempt whose outcome is unknown;
                         repeating that attempt publishes at most once
  --without-hosts        publish even if no majority of the members is seen
                         to renew its host rows
  --wait-s SECONDS       time to wait for the hosts after acceptance (30)
  --json                 print the accepted version as one JSON line

Fleet options:
  --settings FILE    JSON file with comments: fleet, platform, hosts
  --fleet NAME       name of the fleet; overrides the file
  --platform URL     address that serves all three platform services
  --host ADDRESS     operator address of a host, queried when the platform is
                     unreachable; can be repeated

Exit code 1 means that the publication was not accepted, or that hosts do not
apply it yet; the message says which. If the outcome is unknown, the message
names the option with which to repeat the command.
";

/// Time between two reads of the host rows.
const POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Time within which a live host renews its row at least once.
const RENEWAL_TIMEOUT: Duration = Duration::from_secs(5);

struct PublishOptions {
    from_version: u64,
    author: String,
    publication: String,
    without_hosts: bool,
    wait: Duration,
    as_json: bool,
}

/// Publishes configuration objects and waits until hosts apply them.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let options = PublishOptions {
        from_version: arguments.value_from_str("--from")?,
        author: arguments
            .opt_value_from_str("--author")?
            .unwrap_or_else(default_author),
        publication: arguments
            .opt_value_from_str("--publication")?
            .unwrap_or_else(random_id),
        without_hosts: arguments.contains("--without-hosts"),
        wait: Duration::from_secs(arguments.opt_value_from_str("--wait-s")?.unwrap_or(30)),
        as_json: arguments.contains("--json"),
    };
    let access = FleetAccess::open(&mut arguments)?;
    let set = read_objects(&positional_arguments(arguments)?, options.as_json)?;
    eprintln!("valid: {}", counts_by_kind(&set));
    run_async(publish(&access, &options, &set))
}

fn default_author() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unnamed".to_owned())
}

fn random_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

async fn publish(
    access: &FleetAccess,
    options: &PublishOptions,
    set: &ObjectSet,
) -> Result<(), CommandError> {
    if !options.without_hosts {
        require_majority(access).await?;
    }
    let body =
        serde_json::to_vec(set).map_err(|err| CommandError::failed("serialize objects", err))?;
    let draft = PublicationDraft {
        publication: options.publication.clone(),
        from_version: options.from_version,
        author: options.author.clone(),
        digest: hex::encode(Sha256::digest(&body)),
        body,
    };
    let publisher = ConfigurationPublisher::new(
        &access.client,
        &access.settings.fleet,
        PublisherSettings::default(),
    );
    match publisher.publish(&draft).await {
        Ok(PublicationOutcome::Accepted(version)) => {
            print_accepted(options, version);
            wait_until_in_force(access, options, version).await
        }
        Ok(PublicationOutcome::Conflict { current, winner }) => {
            let winner = winner.map_or_else(String::new, |record| {
                format!(
                    "; version {} is publication {} by {}",
                    record.version, record.publication, record.author
                )
            });
            Err(CommandError::Failed(format!(
                "conflict: the objects were edited from version {}, but version {current} is in \
                 force{winner}; nothing was changed",
                options.from_version
            )))
        }
        Err(err) => Err(CommandError::Failed(format!(
            "outcome unknown: {err}; to resolve it, repeat the command with --publication {}",
            options.publication
        ))),
    }
}

fn print_accepted(options: &PublishOptions, version: u64) {
    if options.as_json {
        println!(
            "{{\"accepted\":{version},\"publication\":\"{}\"}}",
            options.publication
        );
    } else {
        println!(
            "accepted: version {version}, publication {}",
            options.publication
        );
    }
}

/// Fails unless a majority of the members is seen to renew its host rows.
///
/// Without this check a publication could be accepted that no host applies.
async fn require_majority(access: &FleetAccess) -> Result<(), CommandError> {
    let initial_renewal_numbers = renewal_numbers(&access.member_rows().await?);
    let started = Instant::now();
    let mut renewing = BTreeSet::new();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let rows = access.member_rows().await?;
        let numbers = renewal_numbers(&rows);
        for (host, number) in &numbers {
            if initial_renewal_numbers
                .get(host)
                .is_none_or(|initial| number > initial)
            {
                renewing.insert(host.clone());
            }
        }
        let total = numbers.len().max(rows.set.members().len());
        if renewing.len() * 2 > total {
            return Ok(());
        }
        if started.elapsed() > RENEWAL_TIMEOUT {
            return Err(CommandError::Failed(format!(
                "refused: {} of {total} members renewed their rows within {RENEWAL_TIMEOUT:?}, \
                 which is no majority; nothing was changed (--without-hosts skips this check)",
                renewing.len()
            )));
        }
    }
}

/// Returns the latest renewal number of each member, by host.
fn renewal_numbers(rows: &MemberRows) -> BTreeMap<String, u64> {
    let members = rows.hosts.iter().filter(|row| rows.is_counted(&row.host));
    members
        .map(|row| (row.host.clone(), row.renewal_number))
        .collect()
}

/// Waits until every member applies the version, and prints the progress.
///
/// Rows of other hosts are ignored: they are left over from earlier hosts, or
/// belong to hosts that will read the version when they join.
async fn wait_until_in_force(
    access: &FleetAccess,
    options: &PublishOptions,
    version: u64,
) -> Result<(), CommandError> {
    let started = Instant::now();
    let mut initial_renewal_numbers = BTreeMap::new();
    loop {
        if let Ok(rows) = access.member_rows().await {
            if initial_renewal_numbers.is_empty() {
                initial_renewal_numbers = renewal_numbers(&rows);
            }
            let members: Vec<&HostRow> = rows
                .hosts
                .iter()
                .filter(|row| rows.is_counted(&row.host))
                .collect();
            let lagging: Vec<&HostRow> = members
                .iter()
                .copied()
                .filter(|row| row.version < version)
                .collect();
            eprintln!(
                "in force on {} of {} hosts",
                members.len() - lagging.len(),
                members.len()
            );
            if lagging.is_empty() {
                println!(
                    "in force: version {version} after {:.1?}",
                    started.elapsed()
                );
                return Ok(());
            }
            if started.elapsed() > options.wait {
                return Err(lagging_hosts_error(
                    version,
                    &lagging,
                    &initial_renewal_numbers,
                ));
            }
        } else if started.elapsed() > options.wait {
            let message = format!("accepted: version {version}, but the host rows cannot be read");
            return Err(CommandError::Failed(message));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn lagging_hosts_error(
    version: u64,
    lagging: &[&HostRow],
    initial_renewal_numbers: &BTreeMap<String, u64>,
) -> CommandError {
    let names: Vec<String> = lagging
        .iter()
        .map(|row| {
            let is_unchanged = initial_renewal_numbers.get(&row.host) == Some(&row.renewal_number);
            let state = if is_unchanged { ", not renewing" } else { "" };
            format!("{} (version {}{state})", row.host, row.version)
        })
        .collect();
    CommandError::Failed(format!(
        "accepted: version {version}, but not in force on {}",
        names.join(", ")
    ))
}
