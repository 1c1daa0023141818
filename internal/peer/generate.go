package peer

//go:generate sh -c "protoc --proto_path=peerpb --go_out=peerpb --go_opt=paths=source_relative --twirp_out=peerpb --twirp_opt=paths=source_relative peerpb/*.proto"
