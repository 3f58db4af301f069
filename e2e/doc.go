// Package e2e holds end-to-end tests with the published OpenAI client. It is a
// module of its own, so that the product does not depend on that client.
package e2e
