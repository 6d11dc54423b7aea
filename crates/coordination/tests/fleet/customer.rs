//! Customers of a manifest and their keys.

use bitterncart_coordination::fleet::customer::Credential;
use bitterncart_coordination::fleet::{Customer, Customers, RequestQuota};

fn customer(name: &str) -> Customer {
    Customer {
        name: name.into(),
        priority: Some(1),
        quota: Some(RequestQuota {
            per_1000_s: 2500,
            burst: 3,
        }),
    }
}

fn name_of(customers: &Customers, key: &str) -> Option<String> {
    let customer = customers.find(Credential::of(key.as_bytes()))?;
    Some(customer.name.to_string())
}

/// Guards against a key that names another customer, or none.
#[test]
fn each_key_names_its_customer() {
    let mut customers = Customers::default();
    customers.insert(customer("a"), ["k1", "k2"]).expect("a");
    customers.insert(customer("b"), ["k3"]).expect("b");
    assert_eq!(name_of(&customers, "k2").as_deref(), Some("a"));
    assert_eq!(name_of(&customers, "k3").as_deref(), Some("b"));
    assert_eq!(name_of(&customers, "k4"), None);
}

/// Guards against a key of two customers, of which one could use what the other pays for.
#[test]
fn key_of_another_customer_is_refused() {
    let mut customers = Customers::default();
    customers.insert(customer("a"), ["k1"]).expect("a");
    assert_eq!(
        customers.insert(customer("b"), ["k2", "k1"]),
        Err("a".into())
    );
    assert_eq!(name_of(&customers, "k2"), None);
}

/// Guards against keys in logs, dumps and stored forms.
#[test]
fn keys_are_not_kept() {
    let mut customers = Customers::default();
    customers.insert(customer("a"), ["secret"]).expect("a");
    assert!(!format!("{customers:?}").contains("secret"));
    let stored = serde_json::to_string(&customers).expect("a text");
    assert!(!stored.contains("secret"));
}
