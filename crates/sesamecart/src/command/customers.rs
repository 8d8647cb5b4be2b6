//! Customers, their keys, and operators' tokens.

use std::fs::File;
use std::io::Read as _;

use anyhow::{Context as _, anyhow};
use indexmap::IndexSet;
use sesamecart_administration::ConfigurationReply;
use sesamecart_config::Customer;
use sesamecart_vocabulary::{CustomerId, KeyHash, Weight};

use super::change::{in_force, publish_changed};
use super::{Failure, Session};
use crate::arguments::{
    AddCustomer, AddKey, Customers, CustomersCommand, OldKey, Output, required,
};
use crate::exit::Exit;
use crate::output::{self, Table, list, or_dash};

/// The random bytes of a key, enough that none can be guessed.
const KEY_BYTES: usize = 24;

/// The digits of a hash that are shown, enough to tell keys apart.
const SHOWN_DIGITS: usize = 12;

pub(super) fn run(session: &Session<'_>, options: Customers) -> Result<Exit, Failure> {
    match options.command {
        None => Ok(Exit::Usage),
        Some(CustomersCommand::List(_)) => show(session),
        Some(CustomersCommand::Add(options)) => add(session, options),
        Some(CustomersCommand::AddKey(options)) => add_key(session, &options),
        Some(CustomersCommand::RotateKey(options)) => rotate_key(session, &options),
        Some(CustomersCommand::RevokeKey(options)) => revoke_key(session, &options),
    }
}

/// Makes an operator's token.
pub(super) fn token(session: &Session<'_>) -> Result<Exit, Failure> {
    let token = random_hex(KEY_BYTES)?;
    print_secret(session, "token", &token);
    Ok(Exit::Done)
}

fn show(session: &Session<'_>) -> Result<Exit, Failure> {
    let reply = in_force(&session.client()?)?;
    let customers = &reply.configuration.customers;
    output::print(session.output, customers, |customers| {
        let mut table = Table::new(&["CUSTOMER", "WEIGHT", "TEAM", "MODELS", "SERVICES", "KEYS"]);
        for (id, customer) in customers {
            let keys = customer.keys.iter().map(short);
            table.row([
                id.to_string(),
                customer.weight.to_string(),
                or_dash(customer.team.as_ref()),
                list(&customer.models),
                list(&customer.services),
                list(keys),
            ]);
        }
        table.print();
    });
    Ok(Exit::Done)
}

fn add(session: &Session<'_>, options: AddCustomer) -> Result<Exit, Failure> {
    let id = required(&options.customer)?;
    let client = session.client()?;
    let mut current = in_force(&client)?;
    let customers = &mut current.configuration.customers;
    if customers.contains_key(&id) {
        return Err(anyhow!("customer {} is there already", id).into());
    }
    let customer = Customer {
        weight: options.weight.unwrap_or(Weight(1)),
        keys: IndexSet::new(),
        models: options.model.into_iter().collect(),
        services: options.service.into_iter().collect(),
        endpoints: IndexSet::new(),
        team: options.team,
    };
    customers.insert(id.clone(), customer);
    let reply = publish_changed(&client, current)?;
    println!("customer {}: {}.", id, reply.outcome);
    Ok(Exit::Done)
}

fn add_key(session: &Session<'_>, options: &AddKey) -> Result<Exit, Failure> {
    let id = required(&options.customer)?;
    let client = session.client()?;
    let mut current = in_force(&client)?;
    let customer = find(&mut current, &id)?;
    let secret = match options.hash {
        Some(hash) => {
            customer.keys.insert(hash);
            None
        }
        None => {
            let secret = random_hex(KEY_BYTES)?;
            customer.keys.insert(KeyHash::of(secret.as_bytes()));
            Some(secret)
        }
    };
    let reply = publish_changed(&client, current)?;
    println!("customer {}: {}.", id, reply.outcome);
    if let Some(secret) = secret {
        print_secret(session, "key", &secret);
    }
    Ok(Exit::Done)
}

fn rotate_key(session: &Session<'_>, options: &OldKey) -> Result<Exit, Failure> {
    let id = required(&options.customer)?;
    let client = session.client()?;
    let mut current = in_force(&client)?;
    let customer = find(&mut current, &id)?;
    let old = find_key(customer, &options.hash)?;
    let secret = random_hex(KEY_BYTES)?;
    customer.keys.shift_remove(&old);
    customer.keys.insert(KeyHash::of(secret.as_bytes()));
    let reply = publish_changed(&client, current)?;
    println!(
        "customer {}: key {} replaced: {}.",
        id,
        short(&old),
        reply.outcome
    );
    print_secret(session, "key", &secret);
    Ok(Exit::Done)
}

fn revoke_key(session: &Session<'_>, options: &OldKey) -> Result<Exit, Failure> {
    let id = required(&options.customer)?;
    let client = session.client()?;
    let mut current = in_force(&client)?;
    let customer = find(&mut current, &id)?;
    let old = find_key(customer, &options.hash)?;
    customer.keys.shift_remove(&old);
    let left = customer.keys.len();
    let reply = publish_changed(&client, current)?;
    println!(
        "customer {}: key {} revoked, {left} left: {}.",
        id,
        short(&old),
        reply.outcome
    );
    Ok(Exit::Done)
}

fn find<'a>(
    current: &'a mut ConfigurationReply,
    id: &CustomerId,
) -> Result<&'a mut Customer, Failure> {
    let customer = current.configuration.customers.get_mut(id);
    Ok(customer.with_context(|| format!("there is no customer {id}, or not of your teams"))?)
}

/// Finds the one key whose hash begins with `start`.
fn find_key(customer: &Customer, start: &str) -> Result<KeyHash, Failure> {
    let mut matching = customer
        .keys
        .iter()
        .filter(|key| key.to_string().starts_with(start));
    let found = matching.next().copied();
    let found = found.with_context(|| format!("no key's hash begins with {start:?}"))?;
    if matching.next().is_some() {
        return Err(anyhow!("several keys' hashes begin with {start:?}; give more digits").into());
    }
    Ok(found)
}

fn short(key: &KeyHash) -> String {
    key.to_string()[..SHOWN_DIGITS].to_owned()
}

fn print_secret(session: &Session<'_>, kind: &str, secret: &str) {
    let hash = KeyHash::of(secret.as_bytes());
    match session.output {
        Output::Json => println!("{}", serde_json::json!({kind: secret, "hash": hash})),
        Output::Table => {
            println!("{kind}: {secret}\nhash: {hash}");
            println!("The {kind} is shown only now; keep it in a safe place.");
        }
    }
}

/// Returns random bytes of the system's own source as hexadecimal digits.
pub(super) fn random_hex(bytes: usize) -> Result<String, Failure> {
    const SOURCE: &str = "/dev/urandom";
    let mut buf = vec![0; bytes];
    let read = File::open(SOURCE).and_then(|mut file| file.read_exact(&mut buf));
    read.context(SOURCE)?;
    Ok(buf.iter().map(|byte| format!("{byte:02x}")).collect())
}
