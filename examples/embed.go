// Package examples embeds the questionnaires of two example deployments. Package
// questionnaire generates configuration from them.
package examples

import _ "embed"

// Trust is the questionnaire in trust.yaml.
//
//go:embed trust.yaml
var Trust []byte

// Cooperative is the questionnaire in cooperative.yaml.
//
//go:embed cooperative.yaml
var Cooperative []byte
