// Package e2e contains end-to-end tests that use the published OpenAI client. It is a
// separate module, so that the product does not depend on that client.
package e2e
