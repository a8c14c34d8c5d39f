use std::{collections::BTreeMap, time::Duration};

use {
    mangostep_platform::{Condition, HostRow, Row, TableStore, Transaction, Write, keys},
    mangostep_policy::MemberSet,
    pico_args::Arguments,
};

use crate::{
    command::{CommandError, positional_arguments, run_async},
    fleet_access::FleetAccess,
};

pub(crate) const USAGE: &str = "\
Show the member set, whose majority decides which hosts may act, or drop dead
hosts from it.

Usage: mangostep members [OPTIONS]
       mangostep members drop HOST... --dead [OPTIONS]

  drop HOST...       remove dead hosts when too few hosts are alive for a
                     majority; the remaining members take over their duties
  --dead             confirms that the processes of these hosts have ended; a
                     dropped host that still runs may act at the same time as
                     its successor

Fleet options:
  --settings FILE    JSON file with comments: fleet, platform, hosts
  --fleet NAME       name of the fleet; overrides the file
  --platform URL     address that serves all three platform services

A host that still renews its row is not dropped. Exit code 1 means that nothing
was changed, unless the message says that the outcome is unknown.
";

/// Time between the two reads that show whether a host renews its row.
const RENEWAL_CHECK_INTERVAL: Duration = Duration::from_millis(5_500);

enum MembersCommand {
    Show,
    Drop(Vec<String>),
}

/// The member set and all host rows, with the versions of their table rows.
struct VersionedRows {
    set_version: u64,
    set: MemberSet,
    /// Version of the table row and its value, by host.
    hosts: BTreeMap<String, (u64, HostRow)>,
}

/// Prints the member set, or drops dead hosts from it.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let is_dead_confirmed = arguments.contains("--dead");
    let access = FleetAccess::open(&mut arguments)?;
    let command = parse_command(positional_arguments(arguments)?, is_dead_confirmed)?;
    run_async(async {
        match command {
            MembersCommand::Show => print_members(&access).await,
            MembersCommand::Drop(hosts) => drop_hosts(&access, &hosts).await,
        }
    })
}

fn parse_command(
    positional: Vec<String>,
    is_dead_confirmed: bool,
) -> Result<MembersCommand, CommandError> {
    let usage = |text: &str| Err(CommandError::Usage(text.to_owned()));
    match positional.split_first() {
        None => Ok(MembersCommand::Show),
        Some((word, hosts)) if word == "drop" => match (hosts.is_empty(), is_dead_confirmed) {
            (true, _) => usage("drop: no hosts given"),
            (_, false) => {
                usage("drop: confirm with --dead that the processes of these hosts have ended")
            }
            _ => Ok(MembersCommand::Drop(hosts.to_vec())),
        },
        Some((word, _)) => usage(&format!("members: unknown subcommand `{word}`")),
    }
}

async fn print_members(access: &FleetAccess) -> Result<(), CommandError> {
    let first = read_rows(access).await?;
    tokio::time::sleep(RENEWAL_CHECK_INTERVAL).await;
    let second = read_rows(access).await?;
    let set = &second.set;
    let state = if set.is_settled() {
        "settled"
    } else {
        "changing"
    };
    println!("member set {}, {state}", set.version());
    for host in set.members() {
        println!("{host}  {}", member_state(&first, &second, host));
    }
    for host in second.hosts.keys().filter(|host| !set.contains(host)) {
        println!(
            "{host}  not a member, {}",
            member_state(&first, &second, host)
        );
    }
    let renewing = set.members().iter();
    let renewing = renewing.filter(|host| is_renewing(&first, &second, host));
    println!(
        "{} of {} members renew their rows, majority is {}",
        renewing.count(),
        set.members().len(),
        set.majority()
    );
    Ok(())
}

fn member_state(first: &VersionedRows, second: &VersionedRows, host: &str) -> &'static str {
    match second.hosts.get(host) {
        None => "no row",
        Some((_, row)) if row.leaving => "leaving",
        Some(_) if is_renewing(first, second, host) => "renewing",
        Some(_) => "not renewing",
    }
}

fn is_renewing(first: &VersionedRows, second: &VersionedRows, host: &str) -> bool {
    let Some((version, _)) = second.hosts.get(host) else {
        return false;
    };
    let earlier = first.hosts.get(host);
    earlier.is_none_or(|(earlier, _)| earlier != version)
}

async fn drop_hosts(access: &FleetAccess, dead: &[String]) -> Result<(), CommandError> {
    let first = read_rows(access).await?;
    tokio::time::sleep(RENEWAL_CHECK_INTERVAL).await;
    let second = read_rows(access).await?;
    let refused = |reason: String| {
        Err(CommandError::Failed(format!(
            "{reason}; nothing was changed"
        )))
    };
    for host in dead {
        if is_renewing(&first, &second, host) {
            return refused(format!("{host} still renews its row"));
        }
        if !second.set.contains(host) {
            return refused(format!("{host} is not a member"));
        }
    }
    let next = second.set.without_dead(dead);
    if next.members().is_empty() {
        return refused("dropping all members would leave the set empty".to_owned());
    }
    if !write_rows(access, &second, &next, dead).await? {
        return refused("the rows changed during the command, try again".to_owned());
    }
    println!(
        "member set {}: {} members, majority is {}",
        next.version(),
        next.members().len(),
        next.majority()
    );
    Ok(())
}

async fn read_rows(access: &FleetAccess) -> Result<VersionedRows, CommandError> {
    let fleet = &access.settings.fleet;
    let transaction = Transaction {
        reads: vec![keys::members(fleet)],
        prefixes: vec![keys::host_prefix(fleet)],
        ..Default::default()
    };
    let answer = access
        .client
        .transact(&transaction)
        .await
        .map_err(|err| CommandError::failed("read member set", err))?;
    let row = answer.row(&keys::members(fleet));
    let text = row.and_then(|row| row.value.as_deref());
    let text =
        text.ok_or_else(|| CommandError::Failed("the fleet has no member set yet".to_owned()))?;
    let set =
        serde_json::from_str(text).map_err(|err| CommandError::failed("read member set", err))?;
    let host_rows = answer.rows.iter();
    let host_rows = host_rows.filter(|row| row.key.starts_with(&keys::host_prefix(fleet)));
    Ok(VersionedRows {
        set_version: row.map_or(0, |row| row.version),
        set,
        hosts: host_rows.filter_map(parse_host).collect(),
    })
}

fn parse_host(row: &Row) -> Option<(String, (u64, HostRow))> {
    let host = HostRow::parse(row.value.as_deref()?).ok()?;
    Some((host.host.clone(), (row.version, host)))
}

/// Writes the next member set and removes the rows of the dropped hosts, so
/// that their processes cannot renew any more.
///
/// Returns false, without writing, if one of the rows has changed since it was
/// read.
async fn write_rows(
    access: &FleetAccess,
    current: &VersionedRows,
    next: &MemberSet,
    dead: &[String],
) -> Result<bool, CommandError> {
    let fleet = &access.settings.fleet;
    let failed = |err: String| CommandError::failed("write member set", err);
    let text = serde_json::to_string(next).map_err(|err| failed(err.to_string()))?;
    let mut change = Transaction {
        conditions: vec![Condition {
            key: keys::members(fleet),
            version: current.set_version,
        }],
        writes: vec![Write {
            key: keys::members(fleet),
            value: Some(text),
        }],
        ..Default::default()
    };
    for host in dead {
        let key = keys::host(fleet, host);
        let version = current.hosts.get(host).map_or(0, |(version, _)| *version);
        change.conditions.push(Condition {
            key: key.clone(),
            version,
        });
        change.writes.push(Write { key, value: None });
    }
    match access.client.transact(&change).await {
        Ok(answer) => Ok(answer.committed),
        // The write may have been committed and only its response lost; the
        // row shows whether it was.
        Err(err) => match read_rows(access).await {
            Ok(now) => Ok(now.set == *next),
            Err(_) => Err(failed(format!(
                "{err}; outcome unknown, `mangostep members` shows the current set"
            ))),
        },
    }
}
