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
    check::{count_text, read_set},
    command::{CommandError, free_arguments, run_async},
    fleet_access::{FleetAccess, MemberRows},
};

pub(crate) const USAGE: &str = "\
Publish a set of objects and wait until it is in force on every host.

Usage: mangostep publish --from VERSION [OPTIONS] PATH...

  --from VERSION         the version that the objects were edited from; the
                         publication is refused when another came first
  --author NAME          shown to whoever publishes at the same time
  --publication ID       settle an earlier publication whose outcome is open
  --without-hosts        publish though no majority of hosts can be seen
  --wait-s SECONDS       how long to wait for the hosts (30)
  --json                 tell the outcome as one JSON line

Which fleet:
  --settings FILE    JSON with comments: fleet, platform, hosts
  --fleet NAME       in place of the file's
  --platform URL     all three platform services at one address
  --host ADDRESS     operator address of a host to ask when the platform is
                     away; may be given several times

Exit code 1 means that it was not accepted, or that hosts are lagging; the
text says which. When the outcome is open, the text gives the command that
settles it.
";

/// Time between two readings of the host rows.
const READING_PAUSE: Duration = Duration::from_millis(700);
/// Longest time until a renewing host is seen to renew.
const RENEWAL_SEEN: Duration = Duration::from_secs(5);

/// What the command line asks for.
struct PublishOptions {
    from_version: u64,
    author: String,
    publication: String,
    without_hosts: bool,
    wait: Duration,
    as_json: bool,
}

/// Publishes objects.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let options = PublishOptions {
        from_version: arguments.value_from_str("--from")?,
        author: arguments
            .opt_value_from_str("--author")?
            .unwrap_or_else(default_author),
        publication: arguments
            .opt_value_from_str("--publication")?
            .unwrap_or_else(new_id),
        without_hosts: arguments.contains("--without-hosts"),
        wait: Duration::from_secs(arguments.opt_value_from_str("--wait-s")?.unwrap_or(30)),
        as_json: arguments.contains("--json"),
    };
    let access = FleetAccess::open(&mut arguments)?;
    let set = read_set(&free_arguments(arguments)?, options.as_json)?;
    eprintln!("checked: {}", count_text(&set));
    run_async(publish(&access, &options, &set))
}

fn default_author() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unnamed".to_owned())
}

fn new_id() -> String {
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
    let body = serde_json::to_vec(set).map_err(|err| CommandError::failed("write set", err))?;
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
            tell_accepted(options, version);
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
            "outcome open: {err}; to settle it, run the same command with --publication {}",
            options.publication
        ))),
    }
}

fn tell_accepted(options: &PublishOptions, version: u64) {
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

/// Fails unless a majority of the members is seen to renew its rows.
///
/// A set that no host learns of would be accepted and not be in force.
async fn require_majority(access: &FleetAccess) -> Result<(), CommandError> {
    let first = numbers_of(&access.member_rows().await?);
    let started = Instant::now();
    let mut renewing = BTreeSet::new();
    loop {
        tokio::time::sleep(READING_PAUSE).await;
        let rows = access.member_rows().await?;
        let numbers = numbers_of(&rows);
        for (host, number) in &numbers {
            if first.get(host).is_none_or(|before| number > before) {
                renewing.insert(host.clone());
            }
        }
        let total = numbers.len().max(rows.set.members().len());
        if renewing.len() * 2 > total {
            return Ok(());
        }
        if started.elapsed() > RENEWAL_SEEN {
            return Err(CommandError::Failed(format!(
                "refused: {} of {total} members are seen to renew, which is no majority; nothing \
                 was changed (--without-hosts publishes all the same)",
                renewing.len()
            )));
        }
    }
}

/// The numbers of the latest renewals of the hosts that count.
fn numbers_of(rows: &MemberRows) -> BTreeMap<String, u64> {
    let counted = rows.hosts.iter().filter(|row| rows.counts(&row.host));
    counted
        .map(|row| (row.host.clone(), row.renewal_number))
        .collect()
}

/// Shows how many hosts have the version in force, until all have.
///
/// Rows of hosts that are no members are old ones, or of hosts that will read
/// the version when they join.
async fn wait_until_in_force(
    access: &FleetAccess,
    options: &PublishOptions,
    version: u64,
) -> Result<(), CommandError> {
    let started = Instant::now();
    let mut first_numbers = BTreeMap::new();
    loop {
        if let Ok(rows) = access.member_rows().await {
            if first_numbers.is_empty() {
                first_numbers = numbers_of(&rows);
            }
            let counted: Vec<&HostRow> = rows
                .hosts
                .iter()
                .filter(|row| rows.counts(&row.host))
                .collect();
            let lagging: Vec<&HostRow> = counted
                .iter()
                .copied()
                .filter(|row| row.version < version)
                .collect();
            eprintln!(
                "in force on {} of {} hosts",
                counted.len() - lagging.len(),
                counted.len()
            );
            if lagging.is_empty() {
                println!(
                    "in force: version {version} after {:.1?}",
                    started.elapsed()
                );
                return Ok(());
            }
            if started.elapsed() > options.wait {
                return Err(lagging_error(version, &lagging, &first_numbers));
            }
        } else if started.elapsed() > options.wait {
            let message = format!("accepted: version {version}, but host rows cannot be read");
            return Err(CommandError::Failed(message));
        }
        tokio::time::sleep(READING_PAUSE).await;
    }
}

fn lagging_error(
    version: u64,
    lagging: &[&HostRow],
    first_numbers: &BTreeMap<String, u64>,
) -> CommandError {
    let names: Vec<String> = lagging
        .iter()
        .map(|row| {
            let silent = first_numbers.get(&row.host) == Some(&row.renewal_number);
            let state = if silent { ", not renewing" } else { "" };
            format!("{} (version {}{state})", row.host, row.version)
        })
        .collect();
    CommandError::Failed(format!(
        "accepted: version {version}, but not in force on {}",
        names.join(", ")
    ))
}
